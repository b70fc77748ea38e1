//! Rendezvous hashing, so that every process ranks the same candidates alike.

/// Returns the score of a candidate for a key; the highest score wins.
///
/// The hash is stable across processes, versions and machines. `weight` is the candidate's share
/// relative to the others and must be positive.
#[must_use]
pub fn rendezvous_score(key: &str, candidate: &str, weight: f64) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key.as_bytes());
    hasher.update(candidate.as_bytes());
    let hash = hasher.finalize();
    let mut head = [0; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    // 53 bits fill a double exactly; the half keeps the logarithm away from zero and one.
    let unit = ((u64::from_le_bytes(head) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / unit.ln()
}

/// Returns the candidates in falling order of score, each with weight one.
#[must_use]
pub fn rendezvous_rank<'a, T: AsRef<str> + ?Sized>(key: &str, candidates: &[&'a T]) -> Vec<&'a T> {
    let mut scored: Vec<_> = candidates
        .iter()
        .map(|c| (rendezvous_score(key, c.as_ref(), 1.0), *c))
        .collect();
    scored.sort_by(|a, b| {
        b.0.total_cmp(&a.0)
            .then_with(|| a.1.as_ref().cmp(b.1.as_ref()))
    });
    scored.into_iter().map(|(_, c)| c).collect()
}

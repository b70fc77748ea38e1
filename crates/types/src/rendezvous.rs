//! Rendezvous hashing: every process ranks the same candidates in the same order.

/// Returns the score of a candidate for a key; the highest score wins.
///
/// The hash is stable across processes, versions and machines. `weight` is relative to the other
/// candidates and must be positive.
#[must_use]
pub fn rendezvous_score(key: &str, candidate: &str, weight: f64) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key.as_bytes());
    hasher.update(candidate.as_bytes());
    let hash = hasher.finalize();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.as_bytes()[..8]);
    // An f64 holds 53 bits exactly. The offset of 0.5 keeps `unit` above 0 and below 1, so that its
    // logarithm is finite and not zero.
    let unit = ((u64::from_le_bytes(prefix) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / unit.ln()
}

/// Returns the candidates in descending order of score, each with weight 1.
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

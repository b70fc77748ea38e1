//! Compact encodings of the exchange: variable-length numbers and runs of zeros.

/// Longest encoding of a 64-bit number.
const MAX_BYTES: u32 = 10;

/// Appends a number, seven bits a byte.
pub(crate) fn put(buf: &mut Vec<u8>, mut n: u64) {
    while n >= 0x80 {
        buf.push(low_bits(n) | 0x80);
        n >>= 7;
    }
    buf.push(low_bits(n));
}

fn low_bits(n: u64) -> u8 {
    n.to_le_bytes()[0] & 0x7f
}

/// Appends a signed number such that small magnitudes are short.
pub(crate) fn put_signed(buf: &mut Vec<u8>, n: i64) {
    put(buf, (n.cast_unsigned() << 1) ^ (n >> 63).cast_unsigned());
}

/// Appends numbers, most of which are zero, as run lengths of zeros and values.
pub(crate) fn put_sparse(buf: &mut Vec<u8>, numbers: impl Iterator<Item = i64>) {
    let mut zeros = 0;
    for n in numbers {
        if n == 0 {
            zeros += 1;
        } else {
            put(buf, zeros);
            put_signed(buf, n);
            zeros = 0;
        }
    }
}

/// Reads what the functions above wrote; every read fails at the end or on a malformed number.
#[derive(Debug)]
pub(crate) struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Self(bytes)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn byte(&mut self) -> Option<u8> {
        let (first, rest) = self.0.split_first()?;
        self.0 = rest;
        Some(*first)
    }

    pub(crate) fn number(&mut self) -> Option<u64> {
        let mut n = 0_u64;
        for i in 0..MAX_BYTES {
            let b = self.byte()?;
            n |= u64::from(b & 0x7f).checked_shl(7 * i)?;
            if b & 0x80 == 0 {
                return Some(n);
            }
        }
        None
    }

    pub(crate) fn signed(&mut self) -> Option<i64> {
        let n = self.number()?;
        Some((n >> 1).cast_signed() ^ -(n & 1).cast_signed())
    }

    /// Reads `len` numbers that [`put_sparse`] wrote; zeros at the end are implied.
    pub(crate) fn sparse(&mut self, len: usize) -> Option<Vec<i64>> {
        let mut numbers = vec![0; len];
        let mut at = 0;
        while !self.is_empty() {
            at += usize::try_from(self.number()?).ok()?;
            *numbers.get_mut(at)? = self.signed()?;
            at += 1;
        }
        Some(numbers)
    }
}

//! Compact encodings: variable-length integers and run-length encoded zeros.

/// Length in bytes of the longest encoding of a 64-bit number.
const MAX_VARINT_BYTES: u32 = 10;

/// Appends a number in LEB128, with seven bits per byte.
pub(crate) fn write_varint(buf: &mut Vec<u8>, mut n: u64) {
    while n >= 0x80 {
        buf.push(low_bits(n) | 0x80);
        n >>= 7;
    }
    buf.push(low_bits(n));
}

fn low_bits(n: u64) -> u8 {
    n.to_le_bytes()[0] & 0x7f
}

/// Appends a signed number in zigzag encoding, which keeps small magnitudes short.
pub(crate) fn write_zigzag(buf: &mut Vec<u8>, n: i64) {
    write_varint(buf, (n.cast_unsigned() << 1) ^ (n >> 63).cast_unsigned());
}

/// Appends numbers, most of which are zero, as pairs of a run of zeros and a value.
pub(crate) fn write_sparse(buf: &mut Vec<u8>, numbers: impl Iterator<Item = i64>) {
    let mut zeros = 0;
    for n in numbers {
        if n == 0 {
            zeros += 1;
        } else {
            write_varint(buf, zeros);
            write_zigzag(buf, n);
            zeros = 0;
        }
    }
}

/// Decoder of the formats above. Every read returns `None` at the end or on a malformed number.
#[derive(Debug)]
pub(crate) struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Self(bytes)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn read_byte(&mut self) -> Option<u8> {
        let (first, rest) = self.0.split_first()?;
        self.0 = rest;
        Some(*first)
    }

    pub(crate) fn read_varint(&mut self) -> Option<u64> {
        let mut n = 0_u64;
        for i in 0..MAX_VARINT_BYTES {
            let b = self.read_byte()?;
            n |= u64::from(b & 0x7f).checked_shl(7 * i)?;
            if b & 0x80 == 0 {
                return Some(n);
            }
        }
        None
    }

    pub(crate) fn read_zigzag(&mut self) -> Option<i64> {
        let n = self.read_varint()?;
        Some((n >> 1).cast_signed() ^ -(n & 1).cast_signed())
    }

    /// Reads `len` numbers that [`write_sparse`] wrote; trailing zeros are implied.
    pub(crate) fn read_sparse(&mut self, len: usize) -> Option<Vec<i64>> {
        let mut numbers = vec![0; len];
        let mut index = 0;
        while !self.is_empty() {
            index += usize::try_from(self.read_varint()?).ok()?;
            *numbers.get_mut(index)? = self.read_zigzag()?;
            index += 1;
        }
        Some(numbers)
    }
}

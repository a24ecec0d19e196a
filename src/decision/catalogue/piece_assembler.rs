//! Division of a value into pieces for transfer, and assembly from them.

use super::{
    catalogue_value::MAX_VALUE_BYTES,
    version_stamp::{ContentDigest, VersionStamp},
};
use crate::common::*;

/// Maximum size of a piece, in bytes.
pub const PIECE_BYTES: usize = 64 * 1024;

/// Part of a value.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct ValuePiece {
    /// Version and digest of the whole value.
    pub stamp: VersionStamp,
    /// Size of the whole value, in bytes.
    pub total: u32,
    /// Offset of the first byte in the value.
    pub offset: u32,
    /// Bytes of the piece.
    pub bytes: Vec<u8>,
}

/// Reason why a piece is refused.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum PieceError {
    /// The piece is of another version or has another digest.
    #[error("The piece is of another version.")]
    VersionMismatch,
    /// The value is too large, or its size differs from that in earlier pieces.
    #[error("The size of the value is not valid.")]
    InvalidSize,
    /// The piece is not the next one or has the wrong length.
    #[error("The piece is not the next one or has the wrong length.")]
    OutOfSequence,
    /// The assembled value does not have the announced digest.
    #[error("The value does not match its digest.")]
    DigestMismatch,
}

/// Value that is assembled from pieces.
#[derive(Debug)]
pub struct PieceAssembler {
    stamp: VersionStamp,
    total: Option<usize>,
    bytes: Vec<u8>,
}

impl PieceAssembler {
    /// Creates an assembler for one version.
    pub fn new(stamp: VersionStamp) -> Self {
        Self {
            stamp,
            total: None,
            bytes: Vec::new(),
        }
    }

    /// Returns the offset of the piece that is needed next.
    pub fn next_offset(&self) -> u32 {
        self.bytes.len() as u32
    }

    /// Adds a piece; returns the value once it is complete and has the announced digest.
    pub fn add(&mut self, piece: &ValuePiece) -> Result<Option<Vec<u8>>, PieceError> {
        if piece.stamp != self.stamp {
            return Err(PieceError::VersionMismatch);
        }
        let total = piece.total as usize;
        if total > MAX_VALUE_BYTES || self.total.is_some_and(|known| known != total) {
            return Err(PieceError::InvalidSize);
        }
        self.total = Some(total);
        let offset = self.bytes.len();
        let expected = (total - offset).min(PIECE_BYTES);
        if piece.offset as usize != offset || piece.bytes.len() != expected {
            return Err(PieceError::OutOfSequence);
        }
        self.bytes.extend_from_slice(&piece.bytes);
        if self.bytes.len() < total {
            return Ok(None);
        }
        if ContentDigest::of(&self.bytes) != self.stamp.digest {
            return Err(PieceError::DigestMismatch);
        }
        Ok(Some(std::mem::take(&mut self.bytes)))
    }
}

/// Returns the piece of a value at an offset, or `None` if the offset is out of range.
pub fn piece_at(stamp: VersionStamp, value: &[u8], offset: u32) -> Option<ValuePiece> {
    let rest = value.get(offset as usize..)?;
    if rest.is_empty() && offset > 0 {
        return None;
    }
    Some(ValuePiece {
        stamp,
        total: u32::try_from(value.len()).ok()?,
        offset,
        bytes: rest[..rest.len().min(PIECE_BYTES)].to_vec(),
    })
}

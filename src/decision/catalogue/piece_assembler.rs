//! Assembly of a value from pieces.

use super::{
    catalogue_value::MAX_VALUE_BYTES,
    version_stamp::{ContentDigest, VersionStamp},
};
use crate::common::*;

/// Bytes of a piece.
pub const PIECE_BYTES: usize = 64 * 1024;

/// Part of a value.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct ValuePiece {
    /// Stamp of the whole value.
    pub stamp: VersionStamp,
    /// Bytes of the whole value.
    pub total: u32,
    /// Position of the first byte.
    pub offset: u32,
    /// Bytes of the piece.
    pub bytes: Vec<u8>,
}

/// A piece does not belong to the value.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum PieceError {
    /// The piece is of another version or content.
    #[error("The piece is of another version.")]
    Stamp,
    /// The value is larger than allowed or changed its size.
    #[error("The size of the value is not valid.")]
    Total,
    /// The piece is not the next one or has the wrong length.
    #[error("The piece is out of place.")]
    Place,
    /// The assembled value does not have the announced digest.
    #[error("The value does not match its digest.")]
    Digest,
}

/// Value in the course of being assembled.
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

    /// Adds a piece; returns the value when it is complete and has the announced digest.
    pub fn add(&mut self, piece: &ValuePiece) -> Result<Option<Vec<u8>>, PieceError> {
        if piece.stamp != self.stamp {
            return Err(PieceError::Stamp);
        }
        let total = piece.total as usize;
        if total > MAX_VALUE_BYTES || self.total.is_some_and(|known| known != total) {
            return Err(PieceError::Total);
        }
        self.total = Some(total);
        let offset = self.bytes.len();
        let expected = (total - offset).min(PIECE_BYTES);
        if piece.offset as usize != offset || piece.bytes.len() != expected {
            return Err(PieceError::Place);
        }
        self.bytes.extend_from_slice(&piece.bytes);
        if self.bytes.len() < total {
            return Ok(None);
        }
        if ContentDigest::of(&self.bytes) != self.stamp.digest {
            return Err(PieceError::Digest);
        }
        Ok(Some(std::mem::take(&mut self.bytes)))
    }
}

/// Cuts a piece out of a value; `None` when the offset is outside.
pub fn cut_piece(stamp: VersionStamp, value: &[u8], offset: u32) -> Option<ValuePiece> {
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

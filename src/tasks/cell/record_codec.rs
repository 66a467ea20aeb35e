//! Encoding of the owner's records. One that is larger than the store accepts, such as the snapshot of a job
//! with thousands of running tasks, is stored in several parts.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::kernel::cell::CellRecord;

/// Bytes of a stored part without its data.
const PART_OVERHEAD_BYTES: usize = 64;
/// Largest number of parts of a record, as a bound on what is kept for an incomplete one.
const MAX_PARTS: usize = 1_000;

/// A part of a record as it is stored: `{"p":[index,count,data]}`.
#[derive(Serialize, Deserialize)]
struct StoredPart {
    p: RecordPart,
}

/// Index of the part, number of parts, and a part of the encoded record in Base64.
#[derive(Serialize, Deserialize)]
struct RecordPart(usize, usize, String);

/// Encodes a record in as many stored records of at most `max_bytes` as it takes.
///
/// # Errors
///
/// Returns the reason if the record cannot be serialized or takes too many parts.
pub fn encode(record: &CellRecord, max_bytes: usize) -> Result<Vec<Bytes>, String> {
    let value = serde_json::to_vec(record).map_err(|error| error.to_string())?;
    if value.len() <= max_bytes {
        return Ok(vec![value.into()]);
    }
    // Base64 takes four bytes for each three.
    let part_bytes = (max_bytes.saturating_sub(PART_OVERHEAD_BYTES) / 4 * 3).max(1);
    let count = value.len().div_ceil(part_bytes);
    if count > MAX_PARTS {
        return Err(format!("record of {} bytes takes more than {MAX_PARTS} parts", value.len()));
    }
    let parts = value.chunks(part_bytes).enumerate();
    let encode_part = |(index, part): (usize, &[u8])| {
        let part = StoredPart { p: RecordPart(index, count, STANDARD.encode(part)) };
        serde_json::to_vec(&part).map(Bytes::from).map_err(|error| error.to_string())
    };
    parts.map(encode_part).collect()
}

/// Decodes stored records in their order.
#[derive(Default)]
pub struct RecordDecoder {
    /// Data of the parts of an incomplete record.
    parts: Vec<Vec<u8>>,
    /// Number of parts of that record.
    count: usize,
}

impl RecordDecoder {
    /// Decodes a stored record; returns `None` for a part after which further ones follow.
    ///
    /// # Errors
    ///
    /// Returns the reason if the stored record is neither a record nor the next part of one. Earlier parts are
    /// then dropped: their writer was replaced before it had stored the others.
    pub fn decode(&mut self, value: &[u8]) -> Result<Option<CellRecord>, String> {
        let error = match serde_json::from_slice(value) {
            Ok(record) => {
                self.parts.clear();
                return Ok(Some(record));
            }
            Err(error) => error,
        };
        let Ok(StoredPart { p: RecordPart(index, count, data) }) = serde_json::from_slice(value) else {
            self.parts.clear();
            return Err(error.to_string());
        };
        let data = STANDARD.decode(data).map_err(|error| error.to_string())?;
        if index == 0 {
            self.parts.clear();
            self.count = count;
        }
        if index != self.parts.len() || count != self.count || count > MAX_PARTS {
            self.parts.clear();
            return Err(format!("part {index} of {count} does not follow the part before it"));
        }
        self.parts.push(data);
        if self.parts.len() < count {
            return Ok(None);
        }
        let whole = std::mem::take(&mut self.parts).concat();
        serde_json::from_slice(&whole).map(Some).map_err(|error| error.to_string())
    }
}

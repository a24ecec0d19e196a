//! Digest of a member table, by which daemons find the records to exchange.

use crate::{
    common::*,
    decision::membership::member_record::{MemberKey, MemberRecord},
};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Number of buckets of a digest. With 2,300 instances, about 36 records are sent for a change of
/// one of them, instead of all records.
const BUCKETS: usize = 64;

/// Hashes of the records of a table, one for each bucket of instances.
#[derive(Clone, Debug, Deserialize, Serialize, Eq, PartialEq)]
pub struct MemberDigest {
    buckets: Vec<u64>,
}

impl MemberDigest {
    /// Computes the digest of records, which must be in the order of [`MemberTable::records`].
    ///
    /// [`MemberTable::records`]: crate::decision::membership::member_table::MemberTable::records
    pub fn new(records: &[MemberRecord]) -> Self {
        let mut hashers = vec![Xxh3::new(); BUCKETS];
        for record in records {
            let info = &record.info;
            let line = format!(
                "{}\n{}\n{}\n{}\n{}\n{}\n{}\n",
                record.service,
                info.instance,
                info.data_centre,
                info.peer,
                info.control,
                record.incarnation,
                record.phase as u8
            );
            hashers[Self::bucket(&record.key())].update(line.as_bytes());
        }
        Self {
            buckets: hashers.iter().map(Xxh3::digest).collect(),
        }
    }

    /// Returns whether two tables may differ in an instance. A digest of a different length, such
    /// as one from a faulty peer, differs in every instance.
    pub fn differs(&self, other: &Self, key: &MemberKey) -> bool {
        let bucket = Self::bucket(key);
        self.buckets.len() != other.buckets.len()
            || self.buckets.get(bucket) != other.buckets.get(bucket)
    }

    fn bucket(key: &MemberKey) -> usize {
        let text = format!("{}\n{}", key.service, key.instance);
        xxh3_64(text.as_bytes()) as usize % BUCKETS
    }
}

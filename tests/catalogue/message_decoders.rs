//! Decoding and validation of messages and values from peers and the platform.

use arbtest::arbitrary::{self, Arbitrary, Unstructured};
use skylarkstream::decision::catalogue::{
    catalogue_index::{CatalogueIndex, MAX_KEYS, MergeResult},
    catalogue_message::{IndexDelta, IndexDigest},
    catalogue_value::{CatalogueValue, ValueError},
    first_seen_times::FirstSeenTimes,
    peer_view::PeerView,
    piece_assembler::{PIECE_BYTES, PieceAssembler, ValuePiece, piece_at},
    role_election::RoleElection,
    version_stamp::{ContentDigest, IndexRecord, VersionStamp},
};
use skylarkstream::shell::platform_client::IndexChange;
use std::time::{Duration, Instant};

fn check_property(property: fn(&mut Unstructured<'_>) -> arbitrary::Result<()>) {
    for seed in 1..=200_u64 {
        let seed = seed.wrapping_mul(0x9e37_79b9) << 32 | (16 * seed);
        arbtest::arbtest(property).seed(seed).run();
    }
}

fn stamp(version: u64, content: &[u8]) -> VersionStamp {
    VersionStamp {
        version,
        digest: ContentDigest::of(content),
    }
}

/// Guards against a panic or an unbounded allocation on any bytes from a peer or the platform.
#[test]
fn arbitrary_bytes_are_decoded_or_refused() {
    check_property(|u| {
        let bytes = Vec::<u8>::arbitrary(u)?;
        let _ = tarpc_decode::<IndexDigest>(&bytes);
        let _ = tarpc_decode::<IndexDelta>(&bytes);
        let _ = tarpc_decode::<ValuePiece>(&bytes);
        let _ = tarpc_decode::<skylarkstream::shell::control::ControlHeader>(&bytes);
        let _ = serde_json::from_slice::<IndexChange>(&bytes);
        for key in ["profiles/a", "services/a", "instances/a", "other"] {
            let _ = CatalogueValue::parse(key, &bytes);
        }
        let text = String::from_utf8_lossy(&bytes);
        let _ = text.parse::<ContentDigest>();
        Ok(())
    });
}

/// Guards against a lag that restarts each time a version is seen, or counts from another version.
#[test]
fn lag_counts_from_when_a_version_was_first_seen() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut first_seen = FirstSeenTimes::default();
    let key = "profiles/a".into();
    for (version, seconds) in [(1, 0), (2, 3), (2, 4), (1, 5)] {
        first_seen.record(&key, version, at(seconds));
    }
    assert_eq!(first_seen.lag(&key, 2, at(7)), Duration::from_secs(4));
    assert_eq!(first_seen.lag(&key, 1, at(7)), Duration::ZERO);
}

/// Guards against a profile that is selected under one name and reported under another.
#[test]
fn profile_under_another_name_is_refused() {
    let text = b"name = \"a\"\ndefault_class = \"c\"\nclasses = { c = 0 }";
    assert!(CatalogueValue::parse("profiles/a", text).is_ok());
    let refused = CatalogueValue::parse("profiles/b", text);
    assert!(matches!(refused, Err(ValueError::Name(name)) if name == "a"));
}

/// Guards against messages that encoding and decoding change.
#[test]
fn messages_survive_a_round_trip() {
    check_property(|u| {
        let record = IndexRecord {
            key: u.arbitrary::<&str>()?.into(),
            latest: stamp(u.arbitrary()?, u.arbitrary()?),
            valid: u
                .arbitrary::<bool>()?
                .then_some(stamp(u.arbitrary()?, b"valid")),
        };
        let digest = IndexDigest {
            sender: ([127, 0, 0, 1], u.arbitrary()?).into(),
            hashes: CatalogueIndex::new().hashes(),
            records: vec![record],
        };
        assert_eq!(
            tarpc_decode::<IndexDigest>(&tarpc_encode(&digest)).unwrap(),
            digest
        );
        let json = serde_json::to_vec(&digest).unwrap();
        assert_eq!(
            serde_json::from_slice::<IndexDigest>(&json).unwrap(),
            digest
        );
        Ok(())
    });
}

/// Guards against an index that depends on the order in which records are merged.
#[test]
fn index_does_not_depend_on_the_order_of_records() {
    check_property(|u| {
        let mut records = Vec::new();
        for _ in 0..u.int_in_range(1..=30)? {
            let version = u.int_in_range(1..=5)?;
            let valid = u.int_in_range(0..=version)?;
            let content = |version: u64| stamp(version, &version.to_le_bytes());
            records.push(IndexRecord {
                key: format!("profiles/{}", u.int_in_range(0..=4)?).into(),
                latest: content(version),
                valid: (valid > 0).then(|| content(valid)),
            });
        }
        let (mut first, mut second) = (CatalogueIndex::new(), CatalogueIndex::new());
        for record in &records {
            first.merge(record);
        }
        for record in records.iter().rev() {
            second.merge(record);
        }
        assert_eq!(first.root_hash(), second.root_hash());
        assert!(first.differing_records(&second.hashes().buckets).is_empty());
        Ok(())
    });
}

/// Guards against an index that grows without limit or accepts keys that are not valid paths.
#[test]
fn index_is_bounded() {
    let mut index = CatalogueIndex::new();
    for number in 0..=MAX_KEYS {
        let result = index.merge_latest(&format!("profiles/p-{number}"), stamp(1, b""));
        assert_eq!(result == MergeResult::Newer, number < MAX_KEYS);
    }
    let long = format!("profiles/{}", "a".repeat(200));
    for key in [
        "",
        "profiles/",
        "profiles/../x",
        "other/a",
        "profiles/a b",
        long.as_str(),
    ] {
        assert_eq!(index.merge_latest(key, stamp(1, b"")), MergeResult::Refused);
    }
}

/// Guards against an incomplete, mixed or corrupted value that is taken as complete.
#[test]
fn assembler_yields_only_the_announced_value() {
    check_property(|u| {
        let length = u.int_in_range(0..=3 * PIECE_BYTES)?;
        let value: Vec<u8> = (0..length).map(|index| index as u8).collect();
        let stamp = stamp(1, &value);
        let mut assembler = PieceAssembler::new(stamp);
        for _ in 0..6 {
            let mut piece = piece_at(stamp, &value, assembler.next_offset()).unwrap();
            match u.int_in_range(0..=5)? {
                0 => piece.bytes.truncate(u.int_in_range(0..=10)?),
                1 => piece.offset = piece.offset.wrapping_add(u.int_in_range(1..=9)?),
                2 => piece.total = piece.total.wrapping_add(1),
                3 => piece.bytes.iter_mut().take(1).for_each(|byte| *byte ^= 1),
                _ => {}
            }
            match assembler.add(&piece) {
                Ok(None) => {}
                Ok(Some(result)) => {
                    assert_eq!(result, value);
                    break;
                }
                Err(_) => assembler = PieceAssembler::new(stamp),
            }
        }
        Ok(())
    });
}

/// Guards against an election that fails on an empty view, as it results from an empty list or one
/// in which all instances are leaving.
#[test]
fn empty_view_has_no_readers() {
    let view = PeerView::default();
    let election = RoleElection::new(&view);
    assert!(!election.is_reader("i-1", "dc-1"));
    assert!(election.replicas("profiles/a", "dc-1").is_empty());
}

fn tarpc_encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    skylarkstream::shell::control::encode(value).unwrap_or_default()
}

fn tarpc_decode<T: for<'de> serde::Deserialize<'de>>(bytes: &[u8]) -> std::io::Result<T> {
    skylarkstream::shell::control::decode(bytes)
}

//! Compression of large contents of feeds, such as the routing table, between entry VMs.
//!
//! A content is compressed once for each revision of an era, however many VMs ask for it, and a VM passes on what it
//! has received.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::sync::Mutex;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use super::steering::{FeedUpdate, WireItem};
use crate::steer::Mark;

/// Shortest content that is compressed, in bytes.
const CONTENT_BYTES_MIN: usize = 4 << 10;
/// Most compressed contents that are kept.
const KEPT_MAX: usize = 16;

/// The feed and the name of an item.
type ItemKey = (u32, String);

/// A compressed content.
#[derive(Debug)]
struct Compressed {
    /// The state of the store in which the content was written.
    mark: Mark,
    bytes: Bytes,
}

/// The last compressed contents, by item.
#[derive(Debug, Default)]
pub struct CompressedContents(Mutex<HashMap<ItemKey, Compressed>>);

impl CompressedContents {
    /// Compresses the large contents of `update`. Its receiver must have asked for that.
    pub fn compress(&self, update: &mut FeedUpdate) {
        for item in &mut update.items {
            if item.body.as_ref().is_some_and(|body| body.len() >= CONTENT_BYTES_MIN) {
                let mark = Mark { era: update.era, revision: item.revision };
                let key = (update.feed, item.name.clone());
                item.deflated = item.body.take().map(|body| self.compressed(key, mark, &body));
            }
        }
    }

    /// Keeps the compressed contents of a received update, all of which are held here now.
    pub fn keep(&self, update: &FeedUpdate) {
        for WireItem { name, revision, deflated, .. } in &update.items {
            if let Some(bytes) = deflated {
                let mark = Mark { era: update.era, revision: *revision };
                self.insert((update.feed, name.clone()), mark, bytes.clone());
            }
        }
    }

    fn compressed(&self, key: ItemKey, mark: Mark, body: &[u8]) -> Bytes {
        let kept =
            self.0.lock().expect("contents lock").get(&key).map(|c| (c.mark, c.bytes.clone()));
        match kept {
            Some((kept_mark, bytes)) if kept_mark == mark => bytes,
            _ => {
                let bytes = compress(body);
                self.insert(key, mark, bytes.clone());
                bytes
            }
        }
    }

    fn insert(&self, key: ItemKey, mark: Mark, bytes: Bytes) {
        let mut contents = self.0.lock().expect("contents lock");
        if contents.len() >= KEPT_MAX {
            contents.clear();
        }
        contents.insert(key, Compressed { mark, bytes });
    }
}

fn compress(content: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to a vector can't fail.
    let _ = encoder.write_all(content);
    encoder.finish().unwrap_or_default().into()
}

/// The content that was compressed, whose length is taken from `room`; none if `bytes` are invalid or stand
/// for more than there is room for.
pub(super) fn decompress(bytes: &[u8], room: &mut usize) -> Option<Bytes> {
    let mut content = Vec::new();
    let limit = *room as u64 + 1;
    DeflateDecoder::new(bytes).take(limit).read_to_end(&mut content).ok()?;
    *room = room.checked_sub(content.len())?;
    Some(content.into())
}

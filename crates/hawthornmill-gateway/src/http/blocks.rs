//! Bytes in blocks, which are never copied while they grow.
//!
//! A buffer that doubles holds the old and the new bytes while it grows, and up to twice its length afterwards.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::BufMut;
use bytes::buf::Limit;

/// Size of the blocks of a long body.
const BLOCK_BYTES: usize = 32 << 10;
/// Size of the first block of a body of unknown length, and least size of any block but that of a shorter body.
const MIN_BLOCK_BYTES: usize = 4 << 10;

/// Blocks that no body uses now.
///
/// The allocator would use fresh memory for many new blocks while freed ones are spread over its pages.
#[derive(Debug, Default)]
pub struct BlockPool {
    spare: RefCell<Vec<Vec<u8>>>,
    /// Least number of spare blocks since the last trim.
    least: Cell<usize>,
}

impl BlockPool {
    /// Returns the bytes of the spare blocks.
    pub fn bytes(&self) -> usize {
        self.spare.borrow().len() * BLOCK_BYTES
    }

    /// Frees the blocks that were spare all the time since the last call.
    pub fn trim(&self) {
        let mut spare = self.spare.borrow_mut();
        let kept = spare.len() - self.least.get().min(spare.len());
        spare.truncate(kept);
        if spare.is_empty() {
            spare.shrink_to_fit();
        }
        self.least.set(kept);
    }

    /// Frees blocks so that those left have at most `bytes`.
    pub fn shrink_to(&self, bytes: usize) {
        let mut spare = self.spare.borrow_mut();
        spare.truncate(bytes / BLOCK_BYTES);
        self.least.set(self.least.get().min(spare.len()));
    }

    fn take(&self) -> Vec<u8> {
        let mut spare = self.spare.borrow_mut();
        let block = spare.pop();
        self.least.set(self.least.get().min(spare.len()));
        block.unwrap_or_else(|| Vec::with_capacity(BLOCK_BYTES))
    }

    fn put_back(&self, mut block: Vec<u8>) {
        block.clear();
        self.spare.borrow_mut().push(block);
    }
}

/// Bytes in blocks, the last of which may have space for more.
#[derive(Debug, Default)]
pub struct Blocks {
    blocks: Vec<Vec<u8>>,
    length: usize,
}

impl Blocks {
    /// Returns the number of bytes.
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the parts in their order.
    pub fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.blocks.iter().map(Vec::as_slice)
    }

    /// Returns the space that is left in the last block.
    pub fn spare(&self) -> usize {
        self.blocks.last().map_or(0, |b| b.capacity() - b.len())
    }

    /// Adds an empty block, in which further bytes are put.
    pub fn add_block(&mut self, block: Vec<u8>) {
        self.blocks.push(block);
    }

    /// Adds the first bytes of `data` that fit into the last block; returns the rest.
    pub fn push<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let (part, rest) = data.split_at(data.len().min(self.spare()));
        if let Some(block) = self.blocks.last_mut() {
            block.extend_from_slice(part);
            self.length += part.len();
        }
        rest
    }

    /// Returns the last block, which is there.
    fn last(&mut self) -> &mut Vec<u8> {
        let last = self.blocks.len() - 1;
        &mut self.blocks[last]
    }

    /// Takes all blocks.
    pub fn take(&mut self) -> Vec<Vec<u8>> {
        self.length = 0;
        std::mem::take(&mut self.blocks)
    }
}

/// A body in blocks, of which the long ones are used again.
#[derive(Debug)]
pub struct BodyBlocks {
    pool: Rc<BlockPool>,
    blocks: Blocks,
    /// Bytes of all blocks, used or not.
    allocated: usize,
}

/// Returns the bytes that the blocks of a body of known length take.
pub const fn allocation(length: usize) -> usize {
    let rest = length % BLOCK_BYTES;
    length - rest + if rest == 0 { 0 } else { block_bytes(rest) }
}

/// Returns the size of the next block of a body of which `missing` bytes are still to come.
const fn block_bytes(missing: usize) -> usize {
    if missing >= BLOCK_BYTES {
        BLOCK_BYTES
    } else if missing <= MIN_BLOCK_BYTES {
        missing
    } else {
        missing.next_power_of_two()
    }
}

impl Drop for BodyBlocks {
    fn drop(&mut self) {
        let blocks = self.blocks.take().into_iter();
        let long = blocks.filter(|b| b.capacity() == BLOCK_BYTES);
        long.for_each(|block| self.pool.put_back(block));
    }
}

impl BodyBlocks {
    /// Returns a body without bytes, which takes long blocks from `pool`.
    pub fn new(pool: &Rc<BlockPool>) -> Self {
        Self {
            pool: Rc::clone(pool),
            blocks: Blocks::default(),
            allocated: 0,
        }
    }

    /// Returns the bytes of the body so far.
    pub const fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the body has no bytes so far.
    pub const fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the parts of the body in their order.
    pub fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.blocks.parts()
    }

    /// Returns the bytes that the blocks take once one has space for more; `missing` is how many bytes of the body are
    /// still to come, if that is known.
    pub fn next_allocation(&self, missing: Option<usize>) -> usize {
        if self.blocks.spare() > 0 {
            return self.allocated;
        }
        self.allocated + self.next_block(missing)
    }

    fn next_block(&self, missing: Option<usize>) -> usize {
        let unknown = || {
            let power = self.len().next_power_of_two();
            power.clamp(MIN_BLOCK_BYTES, BLOCK_BYTES)
        };
        missing.map_or_else(unknown, block_bytes)
    }

    /// Adds a block if the last one is full; the argument as for [`Self::next_allocation`].
    fn make_space(&mut self, missing: Option<usize>) {
        if self.blocks.spare() > 0 {
            return;
        }
        let block = match self.next_block(missing) {
            BLOCK_BYTES => self.pool.take(),
            bytes => Vec::with_capacity(bytes),
        };
        self.allocated += block.capacity();
        self.blocks.add_block(block);
    }

    /// Returns a part of a block for at most `most` bytes that are read into it; `missing` as for
    /// [`Self::next_allocation`].
    pub fn space(&mut self, missing: Option<usize>, most: usize) -> Limit<&mut Vec<u8>> {
        self.make_space(missing);
        self.blocks.last().limit(most)
    }

    /// Records that bytes were read into the space.
    pub const fn record_read(&mut self, bytes: usize) {
        self.blocks.length += bytes;
    }

    /// Adds the first bytes of `data` that fit into one block; returns the rest.
    pub fn push<'a>(&mut self, data: &'a [u8], missing: Option<usize>) -> &'a [u8] {
        self.make_space(missing);
        self.blocks.push(data)
    }
}

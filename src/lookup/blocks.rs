//! A table of client address blocks and the site that serves each.

use std::net::Ipv4Addr;

/// The number of a site in the configuration.
pub type SiteId = u16;

/// Rows of a new page. A page is split when it has more than twice as many, so that a change moves
/// few rows.
const PAGE_ROWS: usize = 512;

/// An address block and its site. Blocks of a table do not overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// First address.
    pub first: Ipv4Addr,
    /// Length of the prefix, from 0 to 32.
    pub prefix: u8,
    /// The site that serves it.
    pub site: SiteId,
}

/// Why a block is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlockError {
    /// The prefix is longer than 32.
    #[error("prefix {0} is longer than 32")]
    Prefix(u8),
    /// The first address has bits beyond the prefix.
    #[error("{0} has bits beyond its prefix")]
    Unaligned(Ipv4Addr),
    /// The block overlaps another one.
    #[error("{0} overlaps another block")]
    Overlap(Ipv4Addr),
}

/// A block by its first and last address.
#[derive(Clone, Copy, Debug)]
struct Row {
    first: u32,
    last: u32,
    site: SiteId,
}

/// A table of client blocks, sorted by address, in pages.
#[derive(Clone, Debug, Default)]
pub struct BlockTable {
    /// First address of each page, in the order of `pages`.
    page_starts: Vec<u32>,
    /// No page is empty; rows ascend within and across pages and do not overlap.
    pages: Vec<Vec<Row>>,
    len: usize,
}

impl BlockTable {
    /// Builds a table from blocks in any order.
    ///
    /// # Errors
    /// Fails if a block is malformed or overlaps another.
    pub fn build(blocks: impl IntoIterator<Item = Block>) -> Result<Self, BlockError> {
        let mut rows = blocks.into_iter().map(row).collect::<Result<Vec<Row>, _>>()?;
        rows.sort_unstable_by_key(|r| r.first);
        if let Some(pair) = rows.windows(2).find(|w| w[0].last >= w[1].first) {
            return Err(BlockError::Overlap(pair[1].first.into()));
        }
        let len = rows.len();
        let pages: Vec<Vec<Row>> = rows.chunks(PAGE_ROWS).map(<[Row]>::to_vec).collect();
        let page_starts = pages.iter().map(|p| p[0].first).collect();
        Ok(Self { page_starts, pages, len })
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if there are no blocks.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The site that serves `client`.
    pub fn site(&self, client: Ipv4Addr) -> Option<SiteId> {
        let client = u32::from(client);
        let page = &self.pages[self.page_of(client)?];
        let position = page.partition_point(|r| r.first <= client).checked_sub(1)?;
        let found = &page[position];
        (client <= found.last).then_some(found.site)
    }

    /// Adds a block, or changes the site of an existing one.
    ///
    /// # Errors
    /// Fails if the block is malformed or overlaps another; the table is then unchanged.
    pub fn set(&mut self, block: Block) -> Result<(), BlockError> {
        let new = row(block)?;
        let Some(page) = self.page_of(new.first).or(if self.is_empty() { None } else { Some(0) })
        else {
            self.page_starts = vec![new.first];
            self.pages = vec![vec![new]];
            self.len = 1;
            return Ok(());
        };
        let rows = &self.pages[page];
        let position = rows.partition_point(|r| r.first < new.first);
        if rows.get(position).is_some_and(|r| r.first == new.first && r.last == new.last) {
            self.pages[page][position].site = new.site;
            return Ok(());
        }
        let before = position.checked_sub(1).map(|p| rows[p].last);
        let after =
            rows.get(position).or_else(|| self.pages.get(page + 1)?.first()).map(|r| r.first);
        if before.is_some_and(|l| l >= new.first) || after.is_some_and(|f| f <= new.last) {
            return Err(BlockError::Overlap(block.first));
        }
        self.pages[page].insert(position, new);
        self.page_starts[page] = self.pages[page][0].first;
        self.len += 1;
        self.split_if_full(page);
        Ok(())
    }

    /// Memory of the rows and the page index, in bytes.
    pub fn bytes(&self) -> usize {
        let rows: usize = self.pages.iter().map(|p| p.capacity() * size_of::<Row>()).sum();
        rows + self.page_starts.capacity() * 4 + self.pages.capacity() * size_of::<Vec<Row>>()
    }

    /// The page that may contain `address`; `None` if `address` is before the first page.
    fn page_of(&self, address: u32) -> Option<usize> {
        self.page_starts.partition_point(|f| *f <= address).checked_sub(1)
    }

    fn split_if_full(&mut self, page: usize) {
        if self.pages[page].len() > 2 * PAGE_ROWS {
            let tail = self.pages[page].split_off(PAGE_ROWS);
            self.page_starts.insert(page + 1, tail[0].first);
            self.pages.insert(page + 1, tail);
        }
    }
}

fn row(block: Block) -> Result<Row, BlockError> {
    if block.prefix > 32 {
        return Err(BlockError::Prefix(block.prefix));
    }
    let first = u32::from(block.first);
    let rest = u32::MAX.checked_shr(block.prefix.into()).unwrap_or(0);
    if first & rest != 0 {
        return Err(BlockError::Unaligned(block.first));
    }
    Ok(Row { first, last: first | rest, site: block.site })
}

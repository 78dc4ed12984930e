//! The roster: one object in the store that says which entry VM owns what.
//!
//! What the fleet as a whole must not exceed is divided among the members: every customer's rate and
//! burst into parts, and the targets of each zone into slices. A part or slice has at most one owner.
//! An owner transfers them only after it has stopped using them, and the conditional write to the
//! store makes the transfer atomic. Nothing is taken from a member that may still be running.
//!
//! [`Roster`] only computes the changes; the node's fleet task writes them to the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::common::record;
use crate::model::{Incarnation, Place, VmId, ZoneId};

use super::rendezvous_score;

/// Number of parts into which every customer's rate and burst are divided: a member's share is the
/// number of its parts divided by this.
pub const PART_COUNT: u32 = 1 << 20;
/// Number of slices of a zone. A slice is the set of the zone's targets whose names hash to it.
pub const SLICE_COUNT: u16 = 256;
/// A member transfers parts only if it owns more than this many times the fair number, so that small
/// differences cause no transfers.
const EXCESS_RATIO: f64 = 1.1;

/// An entry VM on the roster.
#[apply(record!)]
pub struct Member {
    /// The entry VM; listed at most once.
    pub vm: VmId,
    /// Its region and zone.
    pub place: Place,
    /// Its incarnation, which alone owns `parts` and `slices`.
    pub incarnation: Incarnation,
    /// Its address for sessions of other entry VMs.
    pub peers: SocketAddr,
    /// Its address for callers.
    pub callers: SocketAddr,
    /// Number of parts that it owns. The sum over all members is at most [`PART_COUNT`].
    pub parts: u32,
    /// The slices that it owns, ascending, each below [`SLICE_COUNT`]. A slice of a zone has at most
    /// one owner.
    pub slices: Vec<u16>,
    /// True once the member is about to leave. It then gets no more parts or slices.
    #[serde(default)]
    pub leaving: bool,
}

/// A change of the roster that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    /// A later incarnation of the VM is on the roster.
    #[error("a newer incarnation of {vm} is on the roster: {found}")]
    Superseded {
        /// The VM.
        vm: VmId,
        /// The incarnation on the roster.
        found: Incarnation,
    },
    /// The VM is not on the roster, or is there with another incarnation.
    #[error("this incarnation of {vm} is not on the roster")]
    Absent {
        /// The VM.
        vm: VmId,
    },
}

/// All members and what they own.
#[apply(record!)]
#[derive(Default)]
pub struct Roster {
    /// The members, ordered by name.
    pub members: Vec<Member>,
}

impl Roster {
    /// The member `vm`.
    pub fn member(&self, vm: &VmId) -> Option<&Member> {
        self.members.iter().find(|m| &m.vm == vm)
    }

    /// The members of a zone.
    pub fn zone<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a Member> + 'a {
        self.members.iter().filter(move |m| &m.place.zone == zone)
    }

    /// The member that owns the slice of `target` in `zone`.
    pub fn owner(&self, zone: &ZoneId, target: &str) -> Option<&Member> {
        let slice = Self::slice(target);
        let owns = |m: &&Member| &m.place.zone == zone && m.slices.binary_search(&slice).is_ok();
        self.members.iter().find(owns)
    }

    /// The slice that `target` belongs to.
    pub fn slice(target: &str) -> u16 {
        (rendezvous_score("slice", target) % u64::from(SLICE_COUNT)) as u16
    }

    /// True if the roster is consistent: at most [`PART_COUNT`] parts, no slice with two owners and
    /// no VM listed twice.
    pub fn is_valid(&self) -> bool {
        let parts: u64 = self.members.iter().map(|m| u64::from(m.parts)).sum();
        let mut names = BTreeSet::new();
        let mut slices = BTreeSet::new();
        parts <= u64::from(PART_COUNT)
            && self.members.iter().all(|m| {
                names.insert(&m.vm)
                    && m.slices
                        .iter()
                        .all(|s| *s < SLICE_COUNT && slices.insert((&m.place.zone, *s)))
            })
    }

    /// Adds `me` to the roster. It takes over what an earlier incarnation of the VM owned (the slices
    /// only if its place is the same), and takes unowned parts and slices up to the fair number.
    /// `me.parts` and `me.slices` are ignored.
    ///
    /// # Errors
    /// Fails if a later incarnation is on the roster.
    pub fn join(&mut self, me: &Member) -> Result<(), RosterError> {
        let mut entry = Member { parts: 0, slices: Vec::new(), ..me.clone() };
        if let Some(old) = self.member(&me.vm) {
            if old.incarnation > me.incarnation {
                let found = old.incarnation;
                return Err(RosterError::Superseded { vm: me.vm.clone(), found });
            }
            entry.parts = old.parts;
            if old.place == me.place {
                entry.slices = old.slices.clone();
            }
        }
        self.members.retain(|m| m.vm != me.vm);
        self.members.push(entry);
        self.members.sort_by(|a, b| a.vm.cmp(&b.vm));
        self.take_unowned(&me.vm);
        Ok(())
    }

    /// Assigns unowned parts and slices to `vm`, up to the fair number. Returns true if it assigned
    /// any.
    pub fn take_unowned(&mut self, vm: &VmId) -> bool {
        let Some(me) = self.member(vm).filter(|m| !m.leaving).cloned() else { return false };
        let owned: u32 = self.members.iter().map(|m| m.parts).sum();
        let zone: Vec<u16> = self.zone(&me.place.zone).flat_map(|m| m.slices.clone()).collect();
        let owned_slices: BTreeSet<u16> = zone.into_iter().collect();
        let missing = self.fair_parts(&me).saturating_sub(me.parts);
        let parts = missing.min(PART_COUNT - owned.min(PART_COUNT));
        let missing = self.fair_slices(&me).saturating_sub(me.slices.len());
        let slices: Vec<u16> =
            (0..SLICE_COUNT).filter(|s| !owned_slices.contains(s)).take(missing).collect();
        if parts == 0 && slices.is_empty() {
            return false;
        }
        let entry = self.member_mut(vm).expect("the member was found above");
        entry.parts += parts;
        entry.slices.extend(slices);
        entry.slices.sort_unstable();
        true
    }

    /// The parts and slices that `vm` keeps when it transfers its excess. Where another member lacks
    /// some, these are the fair number of slices, and the fair number of parts if it owns more than
    /// `EXCESS_RATIO` times as many; else all that it owns. The caller first stops using the rest,
    /// and then calls [`Roster::transfer_excess`].
    pub fn retained(&self, vm: &VmId) -> Option<(u32, Vec<u16>)> {
        let me = self.member(vm)?;
        let fair = self.fair_parts(me);
        let any_short = self.members.iter().any(|m| m.parts < self.fair_parts(m));
        let parts = match any_short && f64::from(me.parts) > f64::from(fair) * EXCESS_RATIO {
            true => fair,
            false => me.parts,
        };
        let fair = self.fair_slices(me);
        let any_short = self.zone(&me.place.zone).any(|m| m.slices.len() < fair);
        let mut slices = me.slices.clone();
        if any_short {
            slices.truncate(fair.max(1));
        }
        Some((parts, slices))
    }

    /// Transfers all that `vm` owns beyond `parts` and `slices` to other members that are not leaving:
    /// parts first to those that own less than the fair number, and each slice to the member of the
    /// zone that owns the fewest. What no member can take has no owner afterwards.
    ///
    /// # Errors
    /// Fails if `vm` is not on the roster with this incarnation.
    pub fn transfer_excess(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        parts: u32,
        slices: &[u16],
    ) -> Result<(), RosterError> {
        let absent = || RosterError::Absent { vm: vm.clone() };
        let me = self.member_mut(vm).filter(|m| m.incarnation == incarnation).ok_or_else(absent)?;
        let excess = me.parts.saturating_sub(parts);
        me.parts -= excess;
        let (kept, freed) =
            std::mem::take(&mut me.slices).into_iter().partition(|s| slices.contains(s));
        me.slices = kept;
        let zone = me.place.zone.clone();
        self.distribute_parts(vm, excess);
        self.distribute_slices(vm, &zone, freed);
        Ok(())
    }

    /// Marks `vm` as leaving, and transfers its slices to other members. The caller must have
    /// stopped using them.
    ///
    /// # Errors
    /// Fails if `vm` is not on the roster with this incarnation.
    pub fn start_leaving(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
    ) -> Result<(), RosterError> {
        if let Some(me) = self.member_mut(vm) {
            me.leaving = true;
        }
        let parts = self.member(vm).map_or(0, |m| m.parts);
        self.transfer_excess(vm, incarnation, parts, &[])
    }

    /// Removes `vm` from the roster, and transfers what it owned to other members. That incarnation
    /// must have ended or, if it is the caller itself, must have stopped using everything.
    ///
    /// # Errors
    /// Fails if `vm` is not on the roster with this incarnation.
    pub fn remove(&mut self, vm: &VmId, incarnation: Incarnation) -> Result<(), RosterError> {
        self.transfer_excess(vm, incarnation, 0, &[])?;
        self.members.retain(|m| &m.vm != vm);
        Ok(())
    }

    fn member_mut(&mut self, vm: &VmId) -> Option<&mut Member> {
        self.members.iter_mut().find(|m| &m.vm == vm)
    }

    /// Members that are not leaving.
    fn staying(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| !m.leaving)
    }

    /// The fair number of parts of `member`: every zone gets the same number, which is divided equally
    /// among its members that are not leaving. 0 for a leaving member.
    fn fair_parts(&self, member: &Member) -> u32 {
        if member.leaving {
            return 0;
        }
        let zones: BTreeSet<&ZoneId> = self.staying().map(|m| &m.place.zone).collect();
        PART_COUNT / (zones.len().max(1) as u32) / self.zone_size(member)
    }

    /// The fair number of slices of `member`: those of its zone divided equally among its members that
    /// are not leaving, rounded up. 0 for a leaving member.
    fn fair_slices(&self, member: &Member) -> usize {
        match member.leaving {
            true => 0,
            false => usize::from(SLICE_COUNT).div_ceil(self.zone_size(member) as usize),
        }
    }

    /// Number of members in the zone of `member` that are not leaving; at least 1.
    fn zone_size(&self, member: &Member) -> u32 {
        let zone = &member.place.zone;
        self.staying().filter(|m| &m.place.zone == zone).count().max(1) as u32
    }

    fn distribute_parts(&mut self, from: &VmId, mut excess: u32) {
        let shortfalls: BTreeMap<VmId, u32> = self
            .staying()
            .filter(|m| &m.vm != from)
            .map(|m| (m.vm.clone(), self.fair_parts(m).saturating_sub(m.parts)))
            .collect();
        for (vm, shortfall) in shortfalls {
            let moved = shortfall.min(excess);
            excess -= moved;
            if let Some(member) = self.member_mut(&vm) {
                member.parts += moved;
            }
        }
        // Parts that no member lacks go to the first recipient, so that none stays without an owner.
        if let Some(member) = self.recipients(from).next() {
            member.parts += excess;
        }
    }

    fn distribute_slices(&mut self, from: &VmId, zone: &ZoneId, freed: Vec<u16>) {
        for slice in freed {
            let recipients = self.recipients(from).filter(|m| &m.place.zone == zone);
            if let Some(recipient) = recipients.min_by_key(|m| m.slices.len()) {
                recipient.slices.push(slice);
                recipient.slices.sort_unstable();
            }
        }
    }

    fn recipients<'a>(&'a mut self, from: &'a VmId) -> impl Iterator<Item = &'a mut Member> + 'a {
        self.members.iter_mut().filter(move |m| &m.vm != from && !m.leaving)
    }
}

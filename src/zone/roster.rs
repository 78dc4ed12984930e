//! The roster: one object in the store that says which entry VM owns what.
//!
//! Everything that must not be exceeded fleet-wide is split in advance: parts of every customer's
//! rate and burst, and the slices of a zone that carry its targets. An owner gives parts away
//! only after it has stopped using them, and the conditional update of the store makes the
//! transfer atomic. Nobody takes from a member that may still run.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::common::record;
use crate::model::{Incarnation, Place, VmId, ZoneId};

use super::rendezvous_score;

/// Parts into which every customer's rate and burst are split.
pub const PART_COUNT: u32 = 1 << 20;
/// Slices of a zone; each carries the targets that hash to it.
pub const SLICE_COUNT: u16 = 256;
/// A member gives parts away only if it owns this many times its fair share.
const SURPLUS: f64 = 1.1;

/// An entry VM on the roster.
#[apply(record!)]
pub struct Member {
    /// The entry VM, once on the roster.
    pub vm: VmId,
    /// Where it stands.
    pub place: Place,
    /// Its life; what is owned is owned by this life only.
    pub incarnation: Incarnation,
    /// Address of its sessions.
    pub peers: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Owned parts. The sum over all members is at most [`PART_COUNT`].
    pub parts: u32,
    /// Owned slices, ascending, each below [`SLICE_COUNT`]. Members of one zone share none.
    pub slices: Vec<u16>,
    /// True once the member is about to leave: nothing more is given to it.
    #[serde(default)]
    pub leaving: bool,
}

/// A change of the roster that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    /// A later life of the same VM is on the roster.
    #[error("incarnation {found} of {vm} is newer")]
    Superseded {
        /// The VM.
        vm: VmId,
        /// The newer life.
        found: Incarnation,
    },
    /// The VM is not on the roster in this life.
    #[error("{vm} is not on the roster in this life")]
    Absent {
        /// The VM.
        vm: VmId,
    },
}

/// All entry VMs.
#[apply(record!)]
#[derive(Default)]
pub struct Roster {
    /// The members, in order of their names.
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

    /// The owner of the slice that carries `target` in `zone`.
    pub fn owner(&self, zone: &ZoneId, target: &str) -> Option<&Member> {
        let slice = Self::slice(target);
        let owns = |m: &&Member| &m.place.zone == zone && m.slices.binary_search(&slice).is_ok();
        self.members.iter().find(owns)
    }

    /// The slice that carries `target`.
    pub fn slice(target: &str) -> u16 {
        (rendezvous_score("slice", target) % u64::from(SLICE_COUNT)) as u16
    }

    /// True if the sums hold: parts within [`PART_COUNT`], no slice owned twice, no VM twice.
    pub fn is_sound(&self) -> bool {
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

    /// Puts `me` on the roster. A new life takes over what the VM's earlier life owned, and both
    /// take what nobody owns, up to a fair share. `me.parts` and `me.slices` are ignored.
    ///
    /// # Errors
    /// Fails if a later life is on the roster.
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

    /// Takes what nobody owns, up to a fair share; returns true if anything was taken.
    pub fn take_unowned(&mut self, vm: &VmId) -> bool {
        let Some(me) = self.member(vm).filter(|m| !m.leaving).cloned() else { return false };
        let used: u32 = self.members.iter().map(|m| m.parts).sum();
        let zone: Vec<u16> = self.zone(&me.place.zone).flat_map(|m| m.slices.clone()).collect();
        let used_slices: BTreeSet<u16> = zone.into_iter().collect();
        let wanted = self.fair_parts(&me).saturating_sub(me.parts);
        let parts = wanted.min(PART_COUNT - used.min(PART_COUNT));
        let wanted = self.fair_slices(&me).saturating_sub(me.slices.len());
        let slices: Vec<u16> =
            (0..SLICE_COUNT).filter(|s| !used_slices.contains(s)).take(wanted).collect();
        if parts == 0 && slices.is_empty() {
            return false;
        }
        let entry = self.entry(vm).expect("the member was found above");
        entry.parts += parts;
        entry.slices.extend(slices);
        entry.slices.sort_unstable();
        true
    }

    /// What `vm` would still own after giving its surplus away. The caller first stops using the
    /// difference and then calls [`Roster::transfer_excess`].
    pub fn retained(&self, vm: &VmId) -> Option<(u32, Vec<u16>)> {
        let me = self.member(vm)?;
        let fair = self.fair_parts(me);
        let needy = self.members.iter().any(|m| m.parts < self.fair_parts(m));
        let parts = match needy && f64::from(me.parts) > f64::from(fair) * SURPLUS {
            true => fair,
            false => me.parts,
        };
        let fair = self.fair_slices(me);
        let needy = self.zone(&me.place.zone).any(|m| m.slices.len() < fair);
        let mut slices = me.slices.clone();
        if needy {
            slices.truncate(fair.max(1));
        }
        Some((parts, slices))
    }

    /// Gives to the neediest members all that `vm` owns beyond `parts` and `slices`.
    ///
    /// # Errors
    /// Fails if `vm` is not on the roster in the life `incarnation`.
    pub fn transfer_excess(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        parts: u32,
        slices: &[u16],
    ) -> Result<(), RosterError> {
        let absent = || RosterError::Absent { vm: vm.clone() };
        let me = self.entry(vm).filter(|m| m.incarnation == incarnation).ok_or_else(absent)?;
        let given = me.parts.saturating_sub(parts);
        me.parts -= given;
        let (kept, freed) =
            std::mem::take(&mut me.slices).into_iter().partition(|s| slices.contains(s));
        me.slices = kept;
        let zone = me.place.zone.clone();
        self.spread_parts(vm, given);
        self.spread_slices(vm, &zone, freed);
        Ok(())
    }

    /// Says that `vm` is about to leave, and gives its slices to the others. The caller has stopped
    /// using them.
    ///
    /// # Errors
    /// Fails if `vm` is not on the roster in the life `incarnation`.
    pub fn start_leaving(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
    ) -> Result<(), RosterError> {
        if let Some(me) = self.entry(vm) {
            me.leaving = true;
        }
        let parts = self.member(vm).map_or(0, |m| m.parts);
        self.transfer_excess(vm, incarnation, parts, &[])
    }

    /// Takes `vm` off the roster and gives what it owned to the others. The caller knows that the
    /// life `incarnation` has ended or, for itself, has stopped using everything.
    ///
    /// # Errors
    /// Fails if `vm` is not on the roster in that life.
    pub fn remove(&mut self, vm: &VmId, incarnation: Incarnation) -> Result<(), RosterError> {
        self.transfer_excess(vm, incarnation, 0, &[])?;
        self.members.retain(|m| &m.vm != vm);
        Ok(())
    }

    fn entry(&mut self, vm: &VmId) -> Option<&mut Member> {
        self.members.iter_mut().find(|m| &m.vm == vm)
    }

    /// Members that may own something.
    fn staying(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| !m.leaving)
    }

    /// Zones have equal parts, and so have the members of a zone.
    fn fair_parts(&self, member: &Member) -> u32 {
        if member.leaving {
            return 0;
        }
        let zones: BTreeSet<&ZoneId> = self.staying().map(|m| &m.place.zone).collect();
        PART_COUNT / (zones.len().max(1) as u32) / self.staying_beside(member)
    }

    fn fair_slices(&self, member: &Member) -> usize {
        match member.leaving {
            true => 0,
            false => usize::from(SLICE_COUNT).div_ceil(self.staying_beside(member) as usize),
        }
    }

    /// Staying members of the same zone, at least 1.
    fn staying_beside(&self, member: &Member) -> u32 {
        let zone = &member.place.zone;
        self.staying().filter(|m| &m.place.zone == zone).count().max(1) as u32
    }

    fn spread_parts(&mut self, giver: &VmId, mut given: u32) {
        let wants: BTreeMap<VmId, u32> = self
            .staying()
            .filter(|m| &m.vm != giver)
            .map(|m| (m.vm.clone(), self.fair_parts(m).saturating_sub(m.parts)))
            .collect();
        for (vm, want) in wants {
            let part = want.min(given);
            given -= part;
            if let Some(member) = self.entry(&vm) {
                member.parts += part;
            }
        }
        // What no member lacks goes to the first of them, so that nothing is lost.
        if let Some(member) = self.heirs(giver).next() {
            member.parts += given;
        }
    }

    fn spread_slices(&mut self, giver: &VmId, zone: &ZoneId, freed: Vec<u16>) {
        for slice in freed {
            let heirs = self.heirs(giver).filter(|m| &m.place.zone == zone);
            if let Some(heir) = heirs.min_by_key(|m| m.slices.len()) {
                heir.slices.push(slice);
                heir.slices.sort_unstable();
            }
        }
    }

    fn heirs<'a>(&'a mut self, giver: &'a VmId) -> impl Iterator<Item = &'a mut Member> + 'a {
        self.members.iter_mut().filter(move |m| &m.vm != giver && !m.leaving)
    }
}

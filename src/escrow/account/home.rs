//! Moves an account's pool home to the zone with the most demand.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::model::{VmId, ZoneId};
use crate::peer::ask::Note;

use super::super::{Action, PeerStatus};
use super::AccountEscrow;

/// The latest announced pool home of an account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct AnnouncedHome {
    /// Increases with each move; 0 before the first.
    pub(crate) term: u64,
    pub(crate) vm: Option<VmId>,
}

impl AccountEscrow {
    pub(super) fn move_home_if_due(
        &mut self,
        now: Instant,
        peers: &[PeerStatus],
        actions: &mut Vec<Action>,
    ) {
        let Some(best) = self.better_home(now, peers) else {
            self.busier_since = None;
            return;
        };
        let since = *self.busier_since.get_or_insert(now);
        if now < since + self.settings.move_delay {
            return;
        }
        self.busier_since = None;
        self.announced = AnnouncedHome { term: self.announced.term + 1, vm: Some(best) };
        self.grant_meters.clear();
        self.return_pool_loans(now, actions);
        actions.push(Action::AnnounceHome);
    }

    /// The busiest live member of the busiest zone, if that is another zone and its demand is at
    /// least [`Settings::move_ratio`] times the own zone's plus 1 token per second.
    fn better_home(&mut self, now: Instant, peers: &[PeerStatus]) -> Option<VmId> {
        let mut zones: BTreeMap<&ZoneId, f64> = BTreeMap::new();
        let mut members: BTreeMap<&VmId, f64> = BTreeMap::new();
        for peer in peers.iter().filter(|p| p.live || p.vm == self.me.vm) {
            let demand = self.grant_meters.get_mut(&peer.vm).map_or(0.0, |m| m.rate(now));
            *zones.entry(&peer.zone).or_default() += demand;
            members.insert(&peer.vm, demand);
        }
        let own = zones.get(&self.me.zone).copied().unwrap_or(0.0);
        let (zone, demand) = zones.into_iter().max_by(|a, b| a.1.total_cmp(&b.1))?;
        if zone == &self.me.zone || demand < own * self.settings.move_ratio + 1.0 {
            return None;
        }
        peers
            .iter()
            .filter(|p| p.live && &p.zone == zone)
            .max_by(|a, b| members[&a.vm].total_cmp(&members[&b.vm]))
            .map(|p| p.vm.clone())
    }

    pub(super) fn return_pool_loans(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (lender, returned) in self.pool.return_loans(now) {
            if lender == self.me.vm {
                self.quota.take_back(now, &lender, &returned);
            } else {
                actions.push(self.send(lender, Note::LoanReturn(returned)));
            }
        }
    }
}

//! All accounts at one member.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::model::{Account, Incarnation, PoolPlace, VmId};
use crate::peer::Home;
use crate::peer::ask::Note;
use crate::zone::PARTS;

use super::account::Announced;
use super::{Action, Peer, Request, Settings, Steward, Total, Verdict};

/// A message of another member.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The sender.
    pub from: VmId,
    /// The account.
    pub account: Account,
    /// The message.
    pub note: Note,
}

/// All accounts at one member.
///
/// A plain state machine: the caller gives it the time, requests and messages, and carries out the
/// actions that it returns.
///
/// ```
/// use std::time::{Duration, Instant};
/// use shallotstall::escrow::{Escrow, Peer, Request, Settings, Total, Verdict};
/// use shallotstall::model::Account;
/// use shallotstall::zone::PARTS;
///
/// let now = Instant::now();
/// let me = Peer { vm: "a".into(), zone: "z1".into(), live: true };
/// let account = Account::new("rota", "zoo");
/// let mut escrow = Escrow::new(now, me, 1, Settings::default());
/// escrow.set_total(now, &account, Some(Total { rate: 10.0, burst: 5.0 }));
/// escrow.set_parts(now, PARTS);
/// escrow.tick(now);
///
/// let later = now + Duration::from_secs(1);
/// let request = Request { ticket: 1, until: later };
/// let (verdict, actions) = escrow.request(later, &account, request);
/// assert_eq!(verdict, Verdict::Admitted);
/// assert!(actions.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Escrow {
    me: Peer,
    incarnation: Incarnation,
    settings: Settings,
    peers: Vec<Peer>,
    /// Parts of every sum that this member owns, of [`PARTS`].
    parts: u32,
    stewards: BTreeMap<Account, (Total, Steward)>,
}

impl Escrow {
    /// No accounts, and no members but `me`.
    pub fn new(now: Instant, me: Peer, incarnation: Incarnation, settings: Settings) -> Self {
        let _ = now;
        let peers = vec![me.clone()];
        Self { me, incarnation, settings, peers, parts: 0, stewards: BTreeMap::new() }
    }

    /// Sets the members as this one sees them.
    pub fn set_peers(&mut self, peers: Vec<Peer>) {
        self.peers = peers;
    }

    /// Sets the parts that this member owns.
    pub fn set_parts(&mut self, now: Instant, parts: u32) {
        self.parts = parts;
        let fraction = self.fraction();
        for (total, steward) in self.stewards.values_mut() {
            steward.resize(now, part_of(*total, fraction));
        }
    }

    /// The parts that this member owns.
    pub fn parts(&self) -> u32 {
        self.parts
    }

    /// True once neither this member nor any borrower uses more than the parts set.
    pub fn is_settled(&mut self, now: Instant) -> bool {
        let fraction = self.fraction();
        self.stewards.values_mut().all(|(total, steward)| {
            let (part, used) = (part_of(*total, fraction), steward.in_use(now));
            used.rate <= part.rate + 1e-9 && used.burst <= part.burst + 1e-9
        })
    }

    /// Sets the sum of an account; none removes it.
    pub fn set_total(&mut self, now: Instant, account: &Account, total: Option<Total>) {
        let fraction = self.fraction();
        let Some(total) = total else {
            if let Some((total, steward)) = self.stewards.get_mut(account) {
                *total = Total::ZERO;
                steward.resize(now, *total);
            }
            return;
        };
        let entry = self.stewards.entry(account.clone()).or_insert_with(|| {
            let me = self.me.clone();
            let steward = Steward::new(now, me, self.incarnation, account.clone(), self.settings);
            (total, steward)
        });
        entry.0 = total;
        entry.1.resize(now, part_of(total, fraction));
    }

    /// Sets where an account's pool is.
    pub fn set_place(&mut self, account: &Account, place: PoolPlace) {
        if let Some((_, steward)) = self.stewards.get_mut(account) {
            steward.set_place(place);
        }
    }

    /// The accounts known.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.stewards.keys()
    }

    /// Asks for one token of an account. An unknown account has none.
    pub fn request(
        &mut self,
        now: Instant,
        account: &Account,
        request: Request,
    ) -> (Verdict, Vec<Action>) {
        match self.stewards.get_mut(account) {
            Some((_, steward)) => steward.request(now, request, &self.peers),
            None => {
                let retry = self.settings.lease;
                (Verdict::Waiting, vec![Action::Refuse { ticket: request.ticket, retry }])
            }
        }
    }

    /// Lets time pass. To be called every few milliseconds while requests wait, and otherwise at
    /// least every quarter of [`Settings::renew`].
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let peers = &self.peers;
        self.stewards.values_mut().flat_map(|(_, s)| s.tick(now, peers)).collect()
    }

    /// Takes in a message.
    pub fn receive(&mut self, now: Instant, event: &Event) -> Vec<Action> {
        match self.stewards.get_mut(&event.account) {
            Some((_, s)) => s.receive(now, &event.from, &event.note, &self.peers),
            None => Vec::new(),
        }
    }

    /// Learns that a life of a member has ended.
    pub fn member_died(&mut self, now: Instant, vm: &VmId, incarnation: Incarnation) {
        for (_, steward) in self.stewards.values_mut() {
            steward.member_died(now, vm, incarnation);
        }
    }

    /// Gives all loans back, before this member leaves.
    pub fn close(&mut self, now: Instant) -> Vec<Action> {
        self.stewards.values_mut().flat_map(|(_, s)| s.close(now)).collect()
    }

    /// Requests that wait, over all accounts.
    pub fn waiting(&self) -> usize {
        self.stewards.values().map(|(_, s)| s.waiting()).sum()
    }

    /// The homes that have been announced, for heartbeats.
    pub fn homes(&self) -> Vec<Home> {
        self.stewards
            .iter()
            .filter_map(|(account, (_, steward))| {
                let Announced { term, vm } = steward.announced();
                Some(Home {
                    service: account.service.to_string(),
                    customer: account.customer.to_string(),
                    term: *term,
                    vm: vm.as_ref()?.to_string(),
                })
            })
            .collect()
    }

    /// Learns homes from a heartbeat.
    pub fn hear(&mut self, now: Instant, homes: &[Home]) {
        for home in homes {
            let account = Account::new(home.service.as_str(), home.customer.as_str());
            if let Some((_, steward)) = self.stewards.get_mut(&account) {
                let vm = Some(VmId::new(&home.vm));
                steward.hear(now, Announced { term: home.term, vm });
            }
        }
    }

    /// The account at this member, for status pages.
    pub fn steward(&mut self, account: &Account) -> Option<&mut Steward> {
        self.stewards.get_mut(account).map(|(_, s)| s)
    }

    /// The member that holds an account's pool in this member's view.
    pub fn home(&self, account: &Account) -> Option<VmId> {
        self.stewards.get(account).map(|(_, s)| s.home(&self.peers))
    }

    fn fraction(&self) -> f64 {
        f64::from(self.parts) / f64::from(PARTS)
    }
}

fn part_of(total: Total, fraction: f64) -> Total {
    Total { rate: total.rate * fraction, burst: total.burst * fraction }
}

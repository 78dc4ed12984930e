//! Keeps this VM's entry on the roster: joins, takes what no member owns, transfers what exceeds
//! its fair share, removes members whose processes have ended, and leaves. A member owns parts,
//! which are its share of every customer's rate, and slices, which are hash ranges of its zone's
//! targets. A background task does this while the daemon runs; [`super::handover`] calls the last steps
//! when it stops.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::Rng;

use crate::model::{ObjectId, ObjectKind, ServiceId};
use crate::spread::ConfigView;
use crate::store::{ObjectEdit, StoreError, update_object};
use crate::zone::{Allocation, Member, Roster, RosterError, SLICE_COUNT};

use super::mesh::PeerInfo;
use super::{Node, escrow};

/// Mean interval of the checks of the roster; random, so that members seldom write at once.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Connections in a row that a member's port refuses before the member is removed. A port is dialled
/// five times a second, so its process has then been gone for about 3 s, which is longer than a loan
/// of its rate runs.
const REFUSALS_UNTIL_REMOVED: u32 = 15;
/// Bytes per second in one megabit per second.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// What this VM owns, and the addresses of its roster entry.
pub(crate) struct Ownership {
    allocation: Mutex<Allocation>,
    /// The addresses for sessions and for callers, once the ports are open.
    addrs: Mutex<Option<(SocketAddr, SocketAddr)>>,
}

/// A failed update of the roster.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MembershipError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Roster(#[from] RosterError),
    #[error("parse roster: {0}")]
    Parse(#[from] serde_json::Error),
}

impl Ownership {
    pub(crate) fn new(now: Instant) -> Self {
        Self { allocation: Mutex::new(Allocation::new(now)), addrs: Mutex::default() }
    }

    /// Sets the addresses at which peers and callers reach this VM.
    pub(crate) fn set_addrs(&self, peers: SocketAddr, callers: SocketAddr) {
        *self.addrs.lock().expect("addrs lock") = Some((peers, callers));
    }

    /// The slices whose targets this VM may use.
    pub(crate) fn slices(&self) -> Vec<u16> {
        self.with(|a| a.slices())
    }

    /// Applies a newer roster: what this VM owns, and who its peers are.
    pub(crate) fn apply_roster(&self, node: &Node, now: Instant, view: &ConfigView) {
        let listed = view.roster.member(&node.me.vm);
        let own_member = listed.filter(|m| m.incarnation == node.me.incarnation);
        let parts = self.with(|a| {
            a.update(own_member);
            a.parts(now)
        });
        node.escrow.with(|e| e.set_parts(now, parts));
        self.update_peers(node, &view.roster);
    }

    fn with<T>(&self, update: impl FnOnce(&mut Allocation) -> T) -> T {
        update(&mut self.allocation.lock().expect("allocation lock"))
    }

    /// Opens sessions with all members. An incarnation that is no longer on the roster has ended.
    fn update_peers(&self, node: &Node, roster: &Roster) {
        for peer in node.mesh.peers() {
            let info = &peer.info;
            let listed = roster.member(&info.vm).map(|m| m.incarnation);
            if info.incarnation != 0 && listed != Some(info.incarnation) {
                escrow::member_died(node, &info.vm, info.incarnation);
            }
        }
        node.mesh.sync(&all_peers(node, roster));
    }
}

/// The members, and the seeds of the settings that are not on the roster.
fn all_peers(node: &Node, roster: &Roster) -> Vec<PeerInfo> {
    let mut peers: Vec<PeerInfo> = roster
        .members
        .iter()
        .map(|m| PeerInfo {
            vm: m.vm.clone(),
            place: m.place.clone(),
            addr: m.peers,
            incarnation: m.incarnation,
        })
        .collect();
    for seed in &node.config.peers.seeds {
        if !peers.iter().any(|p| p.vm == seed.vm) {
            let (vm, place, addr) = (seed.vm.clone(), seed.place.clone(), seed.addr);
            peers.push(PeerInfo { vm, place, addr, incarnation: 0 });
        }
    }
    peers
}

/// Opens sessions with the seeds of the settings, before there is a roster.
pub(crate) fn dial_seeds(node: &Node) {
    node.mesh.sync(&all_peers(node, &node.view().roster));
}

/// Checks and updates the roster until the daemon leaves.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(CHECK_INTERVAL.mul_f64(jitter)).await;
        if !node.lifecycle.holds_leases() {
            return;
        }
        if let Err(e) = reconcile(&node).await {
            log::warn!("fleet: Updating the roster failed: {e}.");
        }
    }
}

async fn reconcile(node: &Node) -> Result<(), MembershipError> {
    let view = node.view();
    let own_member = view.roster.member(&node.me.vm);
    let Some(own_member) = own_member.filter(|m| m.incarnation == node.me.incarnation) else {
        let Some(me) = new_member(node) else { return Ok(()) };
        return update_roster(node, "join", |roster| roster.join(&me)).await;
    };
    apply_parts(node, Instant::now());
    remove_dead(node, &view.roster).await?;
    release_surplus(node, &view.roster, own_member).await?;
    let mut preview = view.roster.clone();
    if preview.take_unowned(&node.me.vm) {
        let vm = &node.me.vm;
        return update_roster(node, "take", |roster| {
            roster.take_unowned(vm);
            Ok(())
        })
        .await;
    }
    Ok(())
}

/// Removes members whose port keeps refusing connections. A refusal shows that the host responds
/// and the process has ended, while an unreachable member may still be running.
async fn remove_dead(node: &Node, roster: &Roster) -> Result<(), MembershipError> {
    for peer in node.mesh.peers() {
        let info = &peer.info;
        let listed = roster.member(&info.vm).map(|m| m.incarnation);
        if peer.client.refusals() >= REFUSALS_UNTIL_REMOVED && listed == Some(info.incarnation) {
            log::warn!("fleet: The process of {} has ended; removing it from the roster.", info.vm);
            update_roster(node, "remove", |roster| {
                // Another member may have removed it, or a new incarnation may have joined.
                ignore_absent(roster.remove(&info.vm, info.incarnation))
            })
            .await?;
        }
    }
    Ok(())
}

/// Transfers what exceeds the fair share, in two steps: this VM stops using it, and once neither
/// this VM nor a borrower uses it any more, the roster gets its new owners.
async fn release_surplus(
    node: &Node,
    roster: &Roster,
    own_member: &Member,
) -> Result<(), MembershipError> {
    let now = Instant::now();
    let releasing = node.ownership.with(|a| a.releasing().cloned());
    let Some((parts, slices)) = releasing else {
        let retained = roster.retained(&node.me.vm);
        if let Some(retained) =
            retained.filter(|r| *r != (own_member.parts, own_member.slices.clone()))
        {
            start_release(node, now, retained);
        }
        return Ok(());
    };
    if !is_settled(node, now) || node.egress.busy_outside(&slices) > 0 {
        return Ok(());
    }
    let (vm, incarnation) = (&node.me.vm, node.me.incarnation);
    update_roster(node, "give", |roster| roster.transfer_excess(vm, incarnation, parts, &slices))
        .await?;
    // The written roster is already in force here, so the release can end.
    node.ownership.with(Allocation::finish_release);
    apply_parts(node, now);
    node.update_targets(now);
    Ok(())
}

/// Passes the parts that this VM may use now to the rate accounting.
fn apply_parts(node: &Node, now: Instant) {
    let parts = node.ownership.with(|a| a.parts(now));
    if node.escrow.with(|e| e.parts()) != parts {
        node.escrow.with(|e| e.set_parts(now, parts));
    }
}

/// Stops the use of all but the given parts and slices.
fn start_release(node: &Node, now: Instant, (parts, slices): (u32, Vec<u16>)) {
    let parts = node.ownership.with(|a| {
        a.start_release(parts, slices);
        a.parts(now)
    });
    node.escrow.with(|e| e.set_parts(now, parts));
    node.update_targets(now);
}

/// Ends the use of this VM's targets for new requests.
pub(crate) fn close_targets(node: &Node) {
    let now = Instant::now();
    let parts = node.ownership.with(|a| a.parts(now));
    start_release(node, now, (parts, Vec::new()));
}

/// Transfers all targets to the other VMs of the zone. The caller makes sure that they are closed and
/// none runs a request of this VM.
pub(crate) async fn transfer_targets(node: &Node) -> Result<(), MembershipError> {
    let (vm, incarnation) = (&node.me.vm, node.me.incarnation);
    update_roster(node, "start leaving", |roster| {
        ignore_absent(roster.start_leaving(vm, incarnation))
    })
    .await
}

/// Removes this VM from the roster. The caller makes sure that nothing it owns is in use.
pub(crate) async fn leave(node: &Node) -> Result<(), MembershipError> {
    let (vm, incarnation) = (&node.me.vm, node.me.incarnation);
    update_roster(node, "leave", |roster| ignore_absent(roster.remove(vm, incarnation))).await
}

/// Stops the use of everything that this VM owns. Returns true once neither it nor a borrower uses
/// any of it.
pub(crate) fn try_release_all(node: &Node) -> bool {
    let now = Instant::now();
    node.ownership.with(Allocation::close);
    node.escrow.with(|e| e.set_parts(now, 0));
    node.update_targets(now);
    node.egress.busy() == 0 && is_settled(node, now)
}

/// True if neither this VM nor a borrower uses more than what this VM keeps, so that the rest may
/// be transferred.
fn is_settled(node: &Node, now: Instant) -> bool {
    node.ownership.with(|a| a.can_release(now)) && node.escrow.with(|e| e.is_settled(now))
}

/// Treats a member that is no longer on the roster as removed.
fn ignore_absent(outcome: Result<(), RosterError>) -> Result<(), RosterError> {
    match outcome {
        Err(RosterError::Absent { .. }) => Ok(()),
        other => other,
    }
}

/// Updates the roster in the store. `step` is part of the operation's name there.
async fn update_roster(
    node: &Node,
    step: &str,
    mut update: impl FnMut(&mut Roster) -> Result<(), RosterError>,
) -> Result<(), MembershipError> {
    let id = ObjectId::new(ObjectKind::Roster, "fleet");
    let operation = format!("{}-{step}-{:016x}", node.me.vm, rand::random::<u64>());
    let updated = update_object(node.store.as_ref(), &id, &operation, |object| {
        let mut roster = match object.filter(|o| !o.deleted) {
            Some(object) => serde_json::from_str(&object.body)?,
            None => Roster::default(),
        };
        let before = roster.clone();
        update(&mut roster)?;
        match roster == before {
            true => Ok(ObjectEdit::Keep),
            false => Ok::<_, MembershipError>(ObjectEdit::Write(serde_json::to_string(&roster)?)),
        }
    })
    .await?;
    node.offer(Instant::now(), updated.object.into_iter().collect());
    Ok(())
}

fn new_member(node: &Node) -> Option<Member> {
    let (peers, callers) = (*node.ownership.addrs.lock().expect("addrs lock"))?;
    Some(Member {
        vm: node.me.vm.clone(),
        place: node.me.place.clone(),
        incarnation: node.me.incarnation,
        peers,
        callers,
        parts: 0,
        slices: Vec::new(),
        leaving: false,
    })
}

/// This VM's bandwidth to `region`, in bytes per second; none if the link has no limit.
///
/// Each zone of the region has an equal share of the link's bandwidth, and each VM a share of it
/// proportional to the slices that it owns. A slice has a new owner only after its use has ended, so
/// the VMs of a region never use more than the link's bandwidth together.
pub(crate) fn link_rate(node: &Node, service: &ServiceId, region: &str) -> Option<f64> {
    let view = node.view();
    let document = &view.services.get(service)?.document;
    let here = &node.me.place.region;
    let link = document.links.iter().find(|l| &l.from == here && l.to.as_str() == region)?;
    let mut zones: Vec<_> = view
        .roster
        .members
        .iter()
        .filter(|m| &m.place.region == here)
        .map(|m| &m.place.zone)
        .collect();
    zones.sort();
    zones.dedup();
    let fraction =
        node.ownership.slices().len() as f64 / f64::from(SLICE_COUNT) / zones.len().max(1) as f64;
    Some(link.mbit * BYTES_PER_MBIT * fraction)
}

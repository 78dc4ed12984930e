//! This VM's place on the roster: joins, gives surplus away, takes what is free, removes members
//! whose processes have ended, and leaves.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::Rng;

use crate::model::{Kind, ObjectId, ServiceId};
use crate::spread::View;
use crate::store::{ObjectEdit, StoreError, update_object};
use crate::zone::{Holding, Member, Roster, RosterError, SLICES};

use super::mesh::Known;
use super::{Node, escrow};

/// Time between looks at the roster.
const LOOK_EVERY: Duration = Duration::from_millis(300);
/// Refusals of a peer's port in a row after which its process has ended for so long that every
/// loan of its floors has ended, too. A port is dialled five times a second.
const REFUSALS: u32 = 15;
/// Time between looks at whether the targets are idle.
const GIVE_LOOK: Duration = Duration::from_millis(10);
/// Bytes a second of one megabit a second.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// What this VM owns.
pub(crate) struct Fleet {
    holding: Mutex<Holding>,
    ports: Mutex<Option<(SocketAddr, SocketAddr)>>,
}

/// A failed update of the roster.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FleetError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Roster(#[from] RosterError),
    #[error("parse roster: {0}")]
    Parse(#[from] serde_json::Error),
}

impl Fleet {
    pub(crate) fn new(now: Instant) -> Self {
        Self { holding: Mutex::new(Holding::new(now)), ports: Mutex::default() }
    }

    /// Sets the addresses that others use: of sessions and for callers.
    pub(crate) fn set_ports(&self, peers: SocketAddr, callers: SocketAddr) {
        *self.ports.lock().expect("ports lock") = Some((peers, callers));
    }

    /// The slices whose targets this VM may use.
    pub(crate) fn slices(&self) -> Vec<u16> {
        self.with(|h| h.slices())
    }

    /// Takes over what a newer roster says.
    pub(crate) fn follow_roster(&self, node: &Node, now: Instant, view: &View) {
        let me = view.roster.member(&node.me.vm);
        let mine = me.filter(|m| m.incarnation == node.me.incarnation);
        let parts = self.with(|h| {
            h.follow(mine);
            h.parts(now)
        });
        node.escrow.with(|e| e.set_parts(now, parts));
        self.follow_members(node, &view.roster);
    }

    fn with<T>(&self, act: impl FnOnce(&mut Holding) -> T) -> T {
        act(&mut self.holding.lock().expect("holding lock"))
    }

    /// Opens sessions with the members and learns which lives have ended.
    fn follow_members(&self, node: &Node, roster: &Roster) {
        for peer in node.mesh.peers() {
            let known = &peer.known;
            let now_listed = roster.member(&known.vm).map(|m| m.incarnation);
            if known.incarnation != 0 && now_listed != Some(known.incarnation) {
                escrow::member_died(node, &known.vm, known.incarnation);
            }
        }
        node.mesh.sync(&known_peers(node, roster));
    }
}

/// The members, and the peers of the settings that are not on the roster.
fn known_peers(node: &Node, roster: &Roster) -> Vec<Known> {
    let mut known: Vec<Known> = roster
        .members
        .iter()
        .map(|m| Known {
            vm: m.vm.clone(),
            place: m.place.clone(),
            addr: m.peers,
            incarnation: m.incarnation,
        })
        .collect();
    for seed in &node.config.peers.seeds {
        if !known.iter().any(|k| k.vm == seed.vm) {
            let (vm, place, addr) = (seed.vm.clone(), seed.place.clone(), seed.addr);
            known.push(Known { vm, place, addr, incarnation: 0 });
        }
    }
    known
}

/// Opens sessions with the peers of the settings.
pub(crate) fn dial_seeds(node: &Node) {
    node.mesh.sync(&known_peers(node, &node.view().roster));
}

/// Looks after the roster until the daemon ends.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(LOOK_EVERY.mul_f64(jitter)).await;
        if node.life.is_leaving() {
            return;
        }
        if let Err(e) = look(&node).await {
            log::warn!("fleet: {e}.");
        }
    }
}

async fn look(node: &Node) -> Result<(), FleetError> {
    let view = node.view();
    let mine = view.roster.member(&node.me.vm);
    let Some(mine) = mine.filter(|m| m.incarnation == node.me.incarnation) else {
        let Some(me) = own_entry(node) else { return Ok(()) };
        return change(node, "join", |roster| roster.join(&me)).await;
    };
    use_parts(node, Instant::now());
    remove_dead(node, &view.roster).await?;
    release_surplus(node, &view.roster, mine).await?;
    let mut trial = view.roster.clone();
    if trial.take_free(&node.me.vm) {
        let vm = &node.me.vm;
        return change(node, "take", |roster| {
            roster.take_free(vm);
            Ok(())
        })
        .await;
    }
    Ok(())
}

/// Removes members whose port refuses again and again while its host answers.
async fn remove_dead(node: &Node, roster: &Roster) -> Result<(), FleetError> {
    for peer in node.mesh.peers() {
        let known = &peer.known;
        let listed = roster.member(&known.vm).map(|m| m.incarnation);
        if peer.client.refusals() >= REFUSALS && listed == Some(known.incarnation) {
            log::warn!("fleet: The process of {} has ended.", known.vm);
            change(node, "remove", |roster| {
                // Another member may be faster, or the VM back in a new life.
                unless_absent(roster.remove(&known.vm, known.incarnation))
            })
            .await?;
        }
    }
    Ok(())
}

/// Gives surplus away in two steps: first its use ends, then it is written.
async fn release_surplus(node: &Node, roster: &Roster, mine: &Member) -> Result<(), FleetError> {
    let now = Instant::now();
    let releasing = node.fleet.with(|h| h.releasing().cloned());
    let Some((parts, slices)) = releasing else {
        let kept = roster.retained(&node.me.vm);
        if let Some(kept) = kept.filter(|k| *k != (mine.parts, mine.slices.clone())) {
            start_release(node, now, kept);
        }
        return Ok(());
    };
    if !is_settled(node, now) || node.egress.busy_outside(&slices) > 0 {
        return Ok(());
    }
    let (vm, incarnation) = (&node.me.vm, node.me.incarnation);
    change(node, "give", |roster| roster.give(vm, incarnation, parts, &slices)).await?;
    // The written roster is in force by now, and with it what this VM owns.
    node.fleet.with(Holding::end_release);
    use_parts(node, now);
    node.follow_targets(now);
    Ok(())
}

/// Gives the escrow the parts that may be used now.
fn use_parts(node: &Node, now: Instant) {
    let parts = node.fleet.with(|h| h.parts(now));
    if node.escrow.with(|e| e.parts()) != parts {
        node.escrow.with(|e| e.set_parts(now, parts));
    }
}

fn start_release(node: &Node, now: Instant, (parts, slices): (u32, Vec<u16>)) {
    let parts = node.fleet.with(|h| {
        h.start_release(parts, slices);
        h.parts(now)
    });
    node.escrow.with(|e| e.set_parts(now, parts));
    node.follow_targets(now);
}

/// Gives all targets to the other VMs of the zone, once none runs a request of this VM.
pub(crate) async fn give_targets(node: &Node) -> Result<(), FleetError> {
    let now = Instant::now();
    let parts = node.fleet.with(|h| h.parts(now));
    start_release(node, now, (parts, Vec::new()));
    while node.egress.busy() > 0 {
        tokio::time::sleep(GIVE_LOOK).await;
    }
    let (vm, incarnation) = (&node.me.vm, node.me.incarnation);
    change(node, "start leaving", |roster| unless_absent(roster.start_leaving(vm, incarnation)))
        .await
}

/// Leaves the roster. Nothing that this VM owns is in use any more.
pub(crate) async fn leave(node: &Node) -> Result<(), FleetError> {
    let (vm, incarnation) = (&node.me.vm, node.me.incarnation);
    change(node, "leave", |roster| unless_absent(roster.remove(vm, incarnation))).await
}

/// Stops the use of everything that this VM owns; true once neither it nor a borrower uses any.
pub(crate) fn close(node: &Node) -> bool {
    let now = Instant::now();
    node.fleet.with(Holding::close);
    node.escrow.with(|e| e.set_parts(now, 0));
    node.follow_targets(now);
    node.egress.busy() == 0 && is_settled(node, now)
}

/// True if nobody uses more than what this VM keeps, so that the rest may be given away.
fn is_settled(node: &Node, now: Instant) -> bool {
    node.fleet.with(|h| h.may_give(now)) && node.escrow.with(|e| e.is_settled(now))
}

/// Takes it as done if the member has left the roster already.
fn unless_absent(outcome: Result<(), RosterError>) -> Result<(), RosterError> {
    match outcome {
        Err(RosterError::Absent { .. }) => Ok(()),
        other => other,
    }
}

async fn change(
    node: &Node,
    step: &str,
    mut act: impl FnMut(&mut Roster) -> Result<(), RosterError>,
) -> Result<(), FleetError> {
    let id = ObjectId::new(Kind::Roster, "fleet");
    let operation = format!("{}-{step}-{:016x}", node.me.vm, rand::random::<u64>());
    let updated = update_object(node.store.as_ref(), &id, &operation, |object| {
        let mut roster = match object.filter(|o| !o.deleted) {
            Some(object) => serde_json::from_str(&object.body)?,
            None => Roster::default(),
        };
        let before = roster.clone();
        act(&mut roster)?;
        match roster == before {
            true => Ok(ObjectEdit::Keep),
            false => Ok::<_, FleetError>(ObjectEdit::Write(serde_json::to_string(&roster)?)),
        }
    })
    .await?;
    node.offer(Instant::now(), updated.object.into_iter().collect());
    Ok(())
}

fn own_entry(node: &Node) -> Option<Member> {
    let (peers, callers) = (*node.fleet.ports.lock().expect("ports lock"))?;
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

/// This VM's part of the link to `region`, in bytes a second; none if the link has no limit.
///
/// The part follows the slices that this VM owns: they are given away only after their use has
/// ended, so the parts of a region's VMs never exceed the whole.
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
    let part = node.fleet.slices().len() as f64 / f64::from(SLICES) / zones.len().max(1) as f64;
    Some(link.mbit * BYTES_PER_MBIT * part)
}

//! Drives the rate accounting of [`crate::escrow`], which decides without I/O: passes it time,
//! requests and messages of peers, sends the messages that it returns, and wakes the requests that
//! wait for a token. Called by the ingress and by the handler of peer messages.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::escrow::{Action, Admission, AdmissionRequest, Escrow, IncomingNote, RateLimit};
use crate::model::{Account, Incarnation, VmId};
use crate::peer::{Body, EscrowNote, PoolHome};
use crate::spread::ConfigView;

use super::Node;

/// Interval of ticks while requests wait for a token.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Interval of ticks otherwise.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The outcome of a request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenOutcome {
    /// A token was taken.
    Taken,
    /// No token was free in time; a retry after this time can succeed.
    Refused(Duration),
}

/// The rate accounting of this VM and the requests that wait for its tokens.
pub(crate) struct EscrowDriver {
    escrow: Mutex<Escrow>,
    /// The requests that wait for a token, by ticket.
    waiting: Mutex<HashMap<u64, oneshot::Sender<TokenOutcome>>>,
    next_ticket: AtomicU64,
}

impl EscrowDriver {
    pub(crate) fn new(escrow: Escrow) -> Self {
        Self {
            escrow: Mutex::new(escrow),
            waiting: Mutex::default(),
            next_ticket: AtomicU64::new(1),
        }
    }

    pub(crate) fn with<T>(&self, update: impl FnOnce(&mut Escrow) -> T) -> T {
        update(&mut self.escrow.lock().expect("escrow lock"))
    }

    /// Sets each account's rate, burst and pool place from the documents in force. An account that
    /// no document has any more loses its rate.
    pub(crate) fn update_limits(&self, now: Instant, view: &ConfigView) {
        let mut escrow = self.escrow.lock().expect("escrow lock");
        let mut wanted = HashMap::new();
        for (name, service) in &view.services {
            for customer in &service.document.customers {
                let account = Account::new(name.clone(), customer.id.clone());
                let limit = RateLimit { rate: customer.rate, burst: f64::from(customer.burst) };
                wanted.insert(account, (limit, service.document.limits.pool));
            }
        }
        let removed: Vec<Account> =
            escrow.accounts().filter(|a| !wanted.contains_key(a)).cloned().collect();
        for account in removed {
            escrow.set_limit(now, &account, None);
        }
        for (account, (limit, place)) in wanted {
            escrow.set_limit(now, &account, Some(limit));
            escrow.set_pool_place(&account, place);
        }
    }
}

/// Takes one token of `account`, waiting at most `timeout`.
pub(crate) async fn take_token(node: &Node, account: &Account, timeout: Duration) -> TokenOutcome {
    let driver = &node.escrow;
    let now = Instant::now();
    let ticket = driver.next_ticket.fetch_add(1, Ordering::Relaxed);
    let (sender, receiver) = oneshot::channel();
    driver.waiting.lock().expect("waiting lock").insert(ticket, sender);
    let request = AdmissionRequest { id: ticket, deadline: now + timeout };
    let (admission, actions) = driver.with(|e| e.request(now, account, request));
    if admission == Admission::Admitted {
        driver.waiting.lock().expect("waiting lock").remove(&ticket);
        return TokenOutcome::Taken;
    }
    perform(node, actions);
    receiver.await.unwrap_or(TokenOutcome::Refused(timeout))
}

/// Applies a peer's message about one account.
pub(crate) fn receive(node: &Node, from: &VmId, note: EscrowNote) {
    let account = Account::new(note.service.as_str(), note.customer.as_str());
    let Some(note) = note.note else { return };
    let event = IncomingNote { from: from.clone(), account, note };
    let actions = node.escrow.with(|e| e.receive(Instant::now(), &event));
    perform(node, actions);
}

/// Applies the pool homes that a peer's heartbeat announces.
pub(crate) fn update_homes(node: &Node, homes: &[PoolHome]) {
    node.escrow.with(|e| e.learn_homes(Instant::now(), homes));
}

/// Records that an incarnation of a peer has ended: a loan to it ends sooner, and tokens granted to
/// it are free again.
pub(crate) fn member_died(node: &Node, vm: &VmId, incarnation: Incarnation) {
    node.escrow.with(|e| e.member_died(Instant::now(), vm, incarnation));
}

/// Returns all loans, before this VM leaves.
pub(crate) fn return_loans(node: &Node) {
    let actions = node.escrow.with(|e| e.return_loans(Instant::now()));
    perform(node, actions);
}

/// Ticks the rate accounting with the current peers until the daemon ends.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let now = Instant::now();
        let members = node.mesh.members(now, !node.lifecycle.holds_leases());
        let (actions, busy) = node.escrow.with(|e| {
            e.set_peers(members);
            (e.tick(now), e.waiting() > 0)
        });
        perform(&node, actions);
        tokio::time::sleep(if busy { BUSY_TICK_INTERVAL } else { IDLE_TICK_INTERVAL }).await;
    }
}

fn perform(node: &Node, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send { to, account, note } => {
                let service = account.service.to_string();
                let customer = account.customer.to_string();
                let note = EscrowNote { service, customer, note: Some(note) };
                node.metrics.transfers.inc();
                node.mesh.notify(&to, Body::Escrow(note));
            }
            Action::Admit(ticket) => resolve(node, ticket, TokenOutcome::Taken),
            Action::Refuse { id: ticket, retry_after: retry } => {
                resolve(node, ticket, TokenOutcome::Refused(retry))
            }
            Action::AnnounceHome => super::peers::broadcast_heartbeat(node),
        }
    }
}

fn resolve(node: &Node, ticket: u64, outcome: TokenOutcome) {
    let sender = node.escrow.waiting.lock().expect("waiting lock").remove(&ticket);
    if let Some(sender) = sender {
        // If the caller has given up, its token is lost.
        let _ = sender.send(outcome);
    }
}

//! The shell of the conserved sums: waiting requests, messages and time.

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

/// Time between ticks while requests wait.
const BUSY_TICK: Duration = Duration::from_millis(5);
/// Time between ticks otherwise.
const IDLE_TICK: Duration = Duration::from_millis(50);

/// The answer to a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Token {
    /// A token was taken.
    Taken,
    /// None came in time; one can be expected after this time.
    Refused(Duration),
}

/// The conserved sums of this VM.
pub(crate) struct EscrowShell {
    escrow: Mutex<Escrow>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Token>>>,
    next: AtomicU64,
}

impl EscrowShell {
    pub(crate) fn new(escrow: Escrow) -> Self {
        Self { escrow: Mutex::new(escrow), waiting: Mutex::default(), next: AtomicU64::new(1) }
    }

    pub(crate) fn with<T>(&self, act: impl FnOnce(&mut Escrow) -> T) -> T {
        act(&mut self.escrow.lock().expect("escrow lock"))
    }

    /// Sets the sums of the documents in force.
    pub(crate) fn follow(&self, now: Instant, view: &ConfigView) {
        let mut escrow = self.escrow.lock().expect("escrow lock");
        let mut wanted = HashMap::new();
        for (name, service) in &view.services {
            for customer in &service.document.customers {
                let account = Account::new(name.clone(), customer.id.clone());
                let total = RateLimit { rate: customer.rate, burst: f64::from(customer.burst) };
                wanted.insert(account, (total, service.document.limits.pool));
            }
        }
        let gone: Vec<Account> =
            escrow.accounts().filter(|a| !wanted.contains_key(a)).cloned().collect();
        for account in gone {
            escrow.set_limit(now, &account, None);
        }
        for (account, (total, place)) in wanted {
            escrow.set_limit(now, &account, Some(total));
            escrow.set_pool_place(&account, place);
        }
    }
}

/// Takes one token of `account`, waiting at most `patience`.
pub(crate) async fn take(node: &Node, account: &Account, patience: Duration) -> Token {
    let shell = &node.escrow;
    let now = Instant::now();
    let ticket = shell.next.fetch_add(1, Ordering::Relaxed);
    let (sender, receiver) = oneshot::channel();
    shell.waiting.lock().expect("waiting lock").insert(ticket, sender);
    let request = AdmissionRequest { id: ticket, deadline: now + patience };
    let (verdict, actions) = shell.with(|e| e.request(now, account, request));
    if verdict == Admission::Admitted {
        shell.waiting.lock().expect("waiting lock").remove(&ticket);
        return Token::Taken;
    }
    carry_out(node, actions);
    receiver.await.unwrap_or(Token::Refused(patience))
}

/// Takes in a message of a peer.
pub(crate) fn receive(node: &Node, from: &VmId, note: EscrowNote) {
    let account = Account::new(note.service.as_str(), note.customer.as_str());
    let Some(note) = note.note else { return };
    let event = IncomingNote { from: from.clone(), account, note };
    let actions = node.escrow.with(|e| e.receive(Instant::now(), &event));
    carry_out(node, actions);
}

/// Learns homes from a heartbeat.
pub(crate) fn hear(node: &Node, homes: &[PoolHome]) {
    node.escrow.with(|e| e.learn_homes(Instant::now(), homes));
}

/// Learns that a life of a peer has ended.
pub(crate) fn member_died(node: &Node, vm: &VmId, incarnation: Incarnation) {
    node.escrow.with(|e| e.member_died(Instant::now(), vm, incarnation));
}

/// Gives all loans back, before this VM leaves.
pub(crate) fn close(node: &Node) {
    let actions = node.escrow.with(|e| e.return_loans(Instant::now()));
    carry_out(node, actions);
}

/// Lets time pass until the daemon ends.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let now = Instant::now();
        let members = node.mesh.members(now, node.life.is_leaving());
        let (actions, busy) = node.escrow.with(|e| {
            e.set_peers(members);
            (e.tick(now), e.waiting() > 0)
        });
        carry_out(&node, actions);
        tokio::time::sleep(if busy { BUSY_TICK } else { IDLE_TICK }).await;
    }
}

fn carry_out(node: &Node, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send { to, account, note } => {
                let service = account.service.to_string();
                let customer = account.customer.to_string();
                let note = EscrowNote { service, customer, note: Some(note) };
                node.metrics.transfers.inc();
                node.mesh.note(&to, Body::Escrow(note));
            }
            Action::Admit(ticket) => answer(node, ticket, Token::Taken),
            Action::Refuse { id: ticket, retry_after: retry } => {
                answer(node, ticket, Token::Refused(retry))
            }
            Action::AnnounceHome => super::peers::beat_soon(node),
        }
    }
}

fn answer(node: &Node, ticket: u64, token: Token) {
    let sender = node.escrow.waiting.lock().expect("waiting lock").remove(&ticket);
    if let Some(sender) = sender {
        // The caller may have given up; its token is lost.
        let _ = sender.send(token);
    }
}

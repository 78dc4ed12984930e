//! The daemon of an entry VM. It connects the modules that decide without I/O (routing, rates,
//! membership, dispatch to targets) to sockets, clocks and tasks. The program `shallotstalld`
//! starts it by [`Daemon::start`].

mod attempt;
mod changes;
mod egress;
mod escrow;
mod forwarded;
mod freshness;
mod handover;
mod ingress;
mod lifecycle;
mod lookup;
mod membership;
mod mesh;
mod metrics;
mod notices;
mod once;
mod operators;
mod outage;
mod peers;
mod planner;
mod probe;
mod records;
mod refusal;
mod response_head;
mod run;
mod sanitize;
mod status;
mod stop_schedule;
mod target_call;
mod trace;
mod watcher;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::clock;
use crate::config::Config;
use crate::model::{Object, ObjectKind};
use crate::net::{HttpClient, ResponseBudget};
use crate::once::ClaimStore;
use crate::peer::{Body, Identity, Objects};
use crate::spread::{Catalog, ConfigView, OfferOutcome};
use crate::store::{HttpStore, Store};
use crate::targets::CrashTracker;

pub use changes::{ChangeReport, DocumentVersion, ShiftRequest};
pub(crate) use notices::LEAVING_HEADER;
pub use run::{Daemon, Ports};
pub use status::Status;
pub use stop_schedule::{DaemonStop, RequestsInProgress};

/// Bytes of all responses of targets and peers that a daemon holds at once.
const RESPONSE_BYTES_MAX: usize = 64 << 20;

/// The configuration in force, and when it was last known to be complete.
pub(crate) struct KnownView {
    pub(crate) view: Arc<ConfigView>,
    /// Time since the machine's start; none if it never was complete.
    pub(crate) complete_at: Option<Duration>,
}

/// The state that all tasks of a daemon share.
pub(crate) struct Node {
    pub(crate) config: Config,
    pub(crate) me: Identity,
    pub(crate) store: Arc<dyn Store>,
    /// Client for targets; its responses count against `responses`.
    pub(crate) client: HttpClient,
    /// Bounds the responses of targets, also of those that peers have sent on.
    pub(crate) responses: Arc<ResponseBudget>,
    /// Never locked across an await.
    catalog: Mutex<Catalog>,
    /// Built from the catalog; replaced whole whenever the catalog changes.
    view: ArcSwap<ConfigView>,
    pub(crate) mesh: mesh::Mesh,
    pub(crate) escrow: escrow::EscrowDriver,
    pub(crate) egress: egress::Egress,
    pub(crate) forwarded: forwarded::ForwardedRequests,
    pub(crate) ingress: ingress::Ingress,
    pub(crate) ownership: membership::Ownership,
    pub(crate) claims: Arc<ClaimStore>,
    pub(crate) crashes: Mutex<CrashTracker>,
    pub(crate) records: records::Records,
    pub(crate) tracer: trace::Tracer,
    pub(crate) metrics: metrics::Metrics,
    pub(crate) lifecycle: lifecycle::Lifecycle,
    pub(crate) freshness: freshness::Freshness,
}

impl Node {
    fn new(config: Config, me: Identity, tracer: trace::Tracer) -> anyhow::Result<Arc<Self>> {
        let now = Instant::now();
        let responses = ResponseBudget::new(RESPONSE_BYTES_MAX);
        let client = HttpClient::with_budget(config.bind, responses.clone());
        // The store has a client of its own, so that targets can't use up its budget.
        let store: Arc<dyn Store> =
            Arc::new(HttpStore::new(HttpClient::new(config.bind), config.store.addr.to_string()));
        let own_status = crate::escrow::PeerStatus {
            vm: me.vm.clone(),
            zone: me.place.zone.clone(),
            live: true,
        };
        let escrow = crate::escrow::Escrow::new(
            now,
            own_status,
            me.incarnation,
            crate::escrow::Settings::default(),
        );
        Ok(Arc::new(Self {
            mesh: mesh::Mesh::new(me.clone(), config.peer_secret()?, config.bind),
            escrow: escrow::EscrowDriver::new(escrow),
            egress: egress::Egress::default(),
            forwarded: forwarded::ForwardedRequests::default(),
            ingress: ingress::Ingress::default(),
            ownership: membership::Ownership::new(now),
            claims: ClaimStore::new(store.clone(), unix_seconds),
            crashes: Mutex::default(),
            records: records::Records::default(),
            tracer,
            metrics: metrics::Metrics::new(),
            lifecycle: lifecycle::Lifecycle::default(),
            freshness: freshness::Freshness::new(clock::now(), config.final_age()),
            catalog: Mutex::default(),
            view: ArcSwap::default(),
            config,
            me,
            store,
            client,
            responses,
        }))
    }

    /// The configuration in force.
    pub(crate) fn view(&self) -> Arc<ConfigView> {
        self.view.load_full()
    }

    /// The configuration in force, and when it was last known to be complete.
    pub(crate) fn known_view(&self) -> KnownView {
        // In this order: a view that is read later has at least what was complete then.
        let complete_at = self.freshness.complete_at();
        KnownView { complete_at, view: self.view() }
    }

    pub(crate) fn with_catalog<T>(&self, read: impl FnOnce(&Catalog) -> T) -> T {
        read(&self.catalog.lock().expect("catalog lock"))
    }

    /// Adds objects from the store or a peer to the catalog. Those that are newer than what the
    /// catalog held come into force here and are sent on to all peers.
    pub(crate) fn offer(&self, now: Instant, objects: Vec<Object>) {
        let accepted: Vec<Object> = {
            let mut catalog = self.catalog.lock().expect("catalog lock");
            let accepted: Vec<Object> = objects
                .into_iter()
                .filter(|o| catalog.offer(o.clone()) == OfferOutcome::Accepted)
                .collect();
            if accepted.is_empty() {
                return;
            }
            let last = self.view.load_full();
            self.view.store(Arc::new(ConfigView::build(&catalog, &last)));
            accepted
        };
        for object in &accepted {
            log::info!("config: {} is now at version {}.", object.id, object.version);
        }
        self.apply_view(now, &accepted);
        self.mesh.broadcast(&Body::Objects(Objects::from_objects(&accepted)));
    }

    /// Passes the configuration in force to rates, membership and egress.
    fn apply_view(&self, now: Instant, accepted: &[Object]) {
        let view = self.view();
        for invalid in &view.invalid {
            if accepted.iter().any(|o| o.id.to_string() == invalid.object) {
                let (object, version) = (&invalid.object, invalid.version);
                log::error!("config: {object} version {version} is not used: {}.", invalid.cause);
            }
        }
        self.escrow.update_limits(now, &view);
        if accepted.iter().any(|o| o.id.kind == ObjectKind::Roster) {
            self.ownership.apply_roster(self, now, &view);
        }
        self.update_targets(now);
    }

    /// Passes the targets that this VM owns to the egress.
    pub(crate) fn update_targets(&self, now: Instant) {
        let view = self.view();
        let slices = self.ownership.slices();
        self.egress.update_targets(now, &self.me, &view, &slices);
    }
}

/// A random number generator for choices that need no secrecy.
pub(crate) fn small_rng() -> SmallRng {
    SmallRng::from_rng(&mut rand::rng())
}

/// Seconds since 1970.
pub(crate) fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_secs())
}

/// Milliseconds since 1970.
pub(crate) fn unix_millis() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

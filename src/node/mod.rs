//! The daemon: the shells that connect the deciding parts to sockets, clocks and tasks.

mod attempt;
mod changes;
mod egress;
mod escrow;
mod fleet;
mod ingress;
mod life;
mod lookup;
mod mesh;
mod metrics;
mod once;
mod operators;
mod peers;
mod planner;
mod probe;
mod records;
mod refusal;
mod run;
mod sanitize;
mod status;
mod trace;
mod watcher;

use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime};

use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::config::Config;
use crate::escrow as sums;
use crate::model::{Object, ObjectKind};
use crate::net::HttpClient;
use crate::once::ClaimStore;
use crate::peer::{Body, Identity, Objects};
use crate::spread::{Catalog, ConfigView, OfferOutcome};
use crate::store::{HttpStore, Store};
use crate::targets::CrashTracker;

pub use changes::{Changed, ShiftOrder, Shown};
pub use run::{Daemon, Ports};
pub use status::Status;

/// What all parts of a daemon share.
pub(crate) struct Node {
    pub(crate) config: Config,
    pub(crate) me: Identity,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) client: HttpClient,
    /// Never locked across an await.
    catalog: Mutex<Catalog>,
    view: ArcSwap<ConfigView>,
    pub(crate) mesh: mesh::Mesh,
    pub(crate) escrow: escrow::EscrowShell,
    pub(crate) egress: egress::Egress,
    pub(crate) ingress: ingress::Ingress,
    pub(crate) fleet: fleet::Fleet,
    pub(crate) desk: Arc<ClaimStore>,
    pub(crate) poison: Mutex<CrashTracker>,
    pub(crate) records: records::Records,
    pub(crate) tracer: trace::Tracer,
    pub(crate) metrics: metrics::Metrics,
    pub(crate) life: life::Life,
    pub(crate) freshness: watcher::Freshness,
}

impl Node {
    fn new(config: Config, me: Identity, tracer: trace::Tracer) -> anyhow::Result<Arc<Self>> {
        let now = Instant::now();
        let client = HttpClient::new(config.bind);
        let store: Arc<dyn Store> =
            Arc::new(HttpStore::new(client.clone(), config.store.addr.to_string()));
        let peer = sums::PeerStatus { vm: me.vm.clone(), zone: me.place.zone.clone(), live: true };
        let escrow = sums::Escrow::new(now, peer, me.incarnation, sums::Settings::default());
        Ok(Arc::new(Self {
            mesh: mesh::Mesh::new(me.clone(), config.peer_secret()?, config.bind),
            escrow: escrow::EscrowShell::new(escrow),
            egress: egress::Egress::default(),
            ingress: ingress::Ingress::default(),
            fleet: fleet::Fleet::new(now),
            desk: ClaimStore::new(store.clone(), unix_seconds),
            poison: Mutex::default(),
            records: records::Records::default(),
            tracer,
            metrics: metrics::Metrics::new(),
            life: life::Life::default(),
            freshness: watcher::Freshness::new(now),
            catalog: Mutex::default(),
            view: ArcSwap::default(),
            config,
            me,
            store,
            client,
        }))
    }

    /// The objects in force.
    pub(crate) fn view(&self) -> Arc<ConfigView> {
        self.view.load_full()
    }

    pub(crate) fn with_catalog<T>(&self, read: impl FnOnce(&Catalog) -> T) -> T {
        read(&self.catalog.lock().expect("catalog lock"))
    }

    /// Takes in objects from the store or a peer; those that are new are passed on.
    pub(crate) fn offer(&self, now: Instant, objects: Vec<Object>) {
        let taken: Vec<Object> = {
            let mut catalog = self.catalog.lock().expect("catalog lock");
            let taken: Vec<Object> = objects
                .into_iter()
                .filter(|o| catalog.offer(o.clone()) == OfferOutcome::Accepted)
                .collect();
            if taken.is_empty() {
                return;
            }
            let last = self.view.load_full();
            self.view.store(Arc::new(ConfigView::build(&catalog, &last)));
            taken
        };
        for object in &taken {
            log::info!("config: {} is at version {}.", object.id, object.version);
        }
        self.apply_view(now, &taken);
        self.mesh.broadcast(&Body::Objects(Objects::from_objects(&taken)));
    }

    /// Lets the parts follow the objects in force.
    fn apply_view(&self, now: Instant, taken: &[Object]) {
        let view = self.view();
        for lapse in &view.invalid {
            if taken.iter().any(|o| o.id.to_string() == lapse.object) {
                let (object, version) = (&lapse.object, lapse.version);
                log::error!("config: {object} version {version} is not used: {}.", lapse.cause);
            }
        }
        self.escrow.follow(now, &view);
        if taken.iter().any(|o| o.id.kind == ObjectKind::Roster) {
            self.fleet.follow_roster(self, now, &view);
        }
        self.follow_targets(now);
    }

    /// Gives the egress the targets that this VM owns.
    pub(crate) fn follow_targets(&self, now: Instant) {
        let view = self.view();
        let slices = self.fleet.slices();
        self.egress.follow(now, &self.me, &view, &slices);
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

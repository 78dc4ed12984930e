//! Advances planned shifts: a background task that writes the next step of each plan to the store
//! when it is due. All VMs try, but each step is written only once, since the write requires that
//! the plan still has the expected version.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::model::{ObjectId, ObjectKind, ServiceId};
use crate::plan::{ShiftPlan, StepTimer};
use crate::store::{ObjectEdit, StoreError, update_object};

use super::Node;

/// Mean interval of the checks of all plans; random, so that VMs seldom write at once.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Writes the steps that are due until the daemon ends.
pub(crate) async fn run(node: Arc<Node>) {
    let mut timers: BTreeMap<ServiceId, StepTimer> = BTreeMap::new();
    loop {
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(CHECK_INTERVAL.mul_f64(jitter)).await;
        let view = node.view();
        for (name, service) in &view.services {
            if !service.plan.is_pending() {
                continue;
            }
            let now = Instant::now();
            let id = ObjectId::new(ObjectKind::Plan, name.as_str());
            let version = node.with_catalog(|c| c.version(&id));
            let timer = timers.entry(name.clone()).or_insert_with(|| StepTimer::new(now));
            let interval = Duration::from_millis(service.document.shift.interval_ms);
            if !timer.is_due(now, version, interval) {
                continue;
            }
            if let Err(e) = write_step(&node, &id, version, &service.document.shift).await {
                log::warn!("plan: {id}: {e}.");
            }
        }
    }
}

/// Writes one step if the plan is still at `version`.
async fn write_step(
    node: &Node,
    id: &ObjectId,
    version: u64,
    limits: &crate::model::ShiftLimits,
) -> Result<(), StoreError> {
    let operation = format!("{}-step-{:016x}", node.me.vm, rand::random::<u64>());
    let updated = update_object(node.store.as_ref(), id, &operation, |object| {
        let Some(object) = object.filter(|o| o.version == version && !o.deleted) else {
            return Ok::<_, StoreError>(ObjectEdit::Keep);
        };
        let mut plan: ShiftPlan = serde_json::from_str(&object.body).unwrap_or_default();
        match plan.advance(limits) {
            true => Ok(ObjectEdit::Write(serde_json::to_string(&plan).unwrap_or_default())),
            false => Ok(ObjectEdit::Keep),
        }
    })
    .await?;
    if updated.version.is_some() {
        log::info!("plan: Advanced {id} by one step.");
    }
    node.offer(Instant::now(), updated.object.into_iter().collect());
    Ok(())
}

//! Makes the next steps of planned shifts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::model::{Kind, ObjectId, ServiceId};
use crate::plan::{Pace, Plan};
use crate::store::{ObjectEdit, StoreError, update_object};

use super::Node;

/// Time between looks at the plans.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Proposes steps until the daemon ends.
pub(crate) async fn run(node: Arc<Node>) {
    let mut paces: BTreeMap<ServiceId, Pace> = BTreeMap::new();
    loop {
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(LOOK_EVERY.mul_f64(jitter)).await;
        let view = node.view();
        for (name, service) in &view.services {
            if !service.plan.is_pending() {
                continue;
            }
            let now = Instant::now();
            let id = ObjectId::new(Kind::Plan, name.as_str());
            let version = node.with_catalog(|c| c.version(&id));
            let pace = paces.entry(name.clone()).or_insert_with(|| Pace::new(now));
            let interval = Duration::from_millis(service.document.shift.interval_ms);
            if !pace.is_due(now, version, interval) {
                continue;
            }
            if let Err(e) = step(&node, &id, version, &service.document.shift).await {
                log::warn!("plan: {e}.");
            }
        }
    }
}

/// Makes one step if the plan is still at `version`.
async fn step(
    node: &Node,
    id: &ObjectId,
    version: u64,
    shift: &crate::model::Shift,
) -> Result<(), StoreError> {
    let operation = format!("{}-step-{:016x}", node.me.vm, rand::random::<u64>());
    let updated = update_object(node.store.as_ref(), id, &operation, |object| {
        let Some(object) = object.filter(|o| o.version == version && !o.deleted) else {
            return Ok::<_, StoreError>(ObjectEdit::Keep);
        };
        let mut plan: Plan = serde_json::from_str(&object.body).unwrap_or_default();
        match plan.advance(shift) {
            true => Ok(ObjectEdit::Write(serde_json::to_string(&plan).unwrap_or_default())),
            false => Ok(ObjectEdit::Keep),
        }
    })
    .await?;
    if updated.version.is_some() {
        log::info!("plan: The next step of {id} is made.");
    }
    node.offer(Instant::now(), updated.object.into_iter().collect());
    Ok(())
}

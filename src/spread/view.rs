//! The parsed form of the configuration objects.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::model::{
    CustomerId, Document, Drains, KeyDigest, KeySet, KeyState, Object, ObjectKind, ServiceId,
    VmList, parse_document,
};
use crate::plan::ShiftPlan;
use crate::zone::Roster;

use super::Catalog;

/// The configuration of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveService {
    /// The service's document.
    pub document: Arc<Document>,
    /// The document's version.
    pub version: u64,
    /// The service's planned shifts.
    pub plan: ShiftPlan,
}

/// A version of an object that can't be used. The last valid version stays in effect, except for
/// plans; see [`ConfigView::build`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct InvalidObject {
    /// The object's id.
    pub object: String,
    /// The invalid version.
    pub version: u64,
    /// Why it can't be used.
    pub cause: String,
}

/// The configuration that is in effect at one moment. Immutable: a new one is built when an object
/// changes.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// The services by name.
    pub services: BTreeMap<ServiceId, ActiveService>,
    /// The customer of each active key, by the key's digest.
    keys: HashMap<KeyDigest, CustomerId>,
    /// The roster of entry VMs.
    pub roster: Roster,
    /// The planned drains.
    pub drains: Drains,
    /// The platform's list of VMs.
    pub vms: VmList,
    /// The objects that can't be used.
    pub invalid: Vec<InvalidObject>,
}

impl ConfigView {
    /// Builds the view of `catalog`. For an object that can't be used, the configuration in `last`
    /// stays in effect; only an invalid plan counts as empty.
    pub fn build(catalog: &Catalog, last: &ConfigView) -> ConfigView {
        let mut view = ConfigView::default();
        let live =
            |kind| catalog.objects().filter(move |o: &&Object| o.id.kind == kind && !o.deleted);
        for object in live(ObjectKind::Service) {
            view.add_service(object, last);
        }
        for object in live(ObjectKind::Plan) {
            let plan = view.parse(object).unwrap_or_default();
            if let Some(service) = view.services.get_mut(&ServiceId::new(&object.id.name)) {
                service.plan = plan;
            }
        }
        for object in live(ObjectKind::Keys) {
            view.add_keys(object, last);
        }
        for object in live(ObjectKind::Roster) {
            let valid = view.parse::<Roster>(object).filter(Roster::is_valid);
            view.roster = valid.unwrap_or_else(|| last.roster.clone());
        }
        for object in live(ObjectKind::Drains) {
            view.drains = view.parse(object).unwrap_or_else(|| last.drains.clone());
        }
        for object in live(ObjectKind::Vms) {
            view.vms = view.parse(object).unwrap_or_else(|| last.vms.clone());
        }
        view
    }

    /// The customer of `key`, if the key is active. The lookup by the key's digest is followed by a
    /// comparison of the digests in constant time.
    pub fn customer(&self, key: &str) -> Option<&CustomerId> {
        let digest = KeyDigest::of(key);
        let (found, customer) = self.keys.get_key_value(&digest)?;
        found.matches(&digest).then_some(customer)
    }

    fn add_service(&mut self, object: &Object, last: &ConfigView) {
        let name = ServiceId::new(&object.id.name);
        match parse_document(&object.body) {
            Ok(document) if document.service == name => {
                let (document, version) = (Arc::new(document), object.version);
                let service = ActiveService { document, version, plan: ShiftPlan::default() };
                self.services.insert(name, service);
            }
            Ok(document) => {
                self.record_invalid(
                    object,
                    format!("the document names service {}", document.service),
                );
                self.keep_last_service(name, last);
            }
            Err(problems) => {
                let texts: Vec<String> = problems.iter().map(ToString::to_string).collect();
                self.record_invalid(object, texts.join("; "));
                self.keep_last_service(name, last);
            }
        }
    }

    fn keep_last_service(&mut self, name: ServiceId, last: &ConfigView) {
        if let Some(service) = last.services.get(&name) {
            self.services.insert(name, service.clone());
        }
    }

    fn add_keys(&mut self, object: &Object, last: &ConfigView) {
        let customer = CustomerId::new(&object.id.name);
        match self.parse::<KeySet>(object) {
            Some(set) => {
                for entry in set.keys.into_iter().filter(|k| k.state == KeyState::Active) {
                    self.keys.insert(entry.digest, customer.clone());
                }
            }
            None => {
                let old = last.keys.iter().filter(|(_, c)| **c == customer);
                self.keys.extend(old.map(|(k, c)| (k.clone(), c.clone())));
            }
        }
    }

    fn parse<T: serde::de::DeserializeOwned>(&mut self, object: &Object) -> Option<T> {
        match serde_json::from_str(&object.body) {
            Ok(value) => Some(value),
            Err(e) => {
                self.record_invalid(object, e.to_string());
                None
            }
        }
    }

    fn record_invalid(&mut self, object: &Object, cause: String) {
        let (id, version) = (object.id.to_string(), object.version);
        self.invalid.push(InvalidObject { object: id, version, cause });
    }
}

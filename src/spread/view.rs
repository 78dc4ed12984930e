//! The objects in the form in which requests use them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::model::{
    CustomerId, Document, Drains, KeyDigest, KeySet, KeyState, Kind, Object, ServiceId, VmList,
    parse_document,
};
use crate::plan::ShiftPlan;
use crate::zone::Roster;

use super::Catalog;

/// A service in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its document.
    pub document: Arc<Document>,
    /// The document's version.
    pub version: u64,
    /// Its planned shifts.
    pub plan: ShiftPlan,
}

/// An object that can't be used; the last good one stays in force.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct InvalidObject {
    /// The object.
    pub object: String,
    /// The version that can't be used.
    pub version: u64,
    /// Why.
    pub cause: String,
}

/// Everything that requests need to know, at one moment.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Customers by the digest of each active key.
    keys: HashMap<KeyDigest, CustomerId>,
    /// Entry VMs.
    pub roster: Roster,
    /// Drains.
    pub drains: Drains,
    /// The platform's list.
    pub vms: VmList,
    /// Objects that can't be used.
    pub invalid: Vec<InvalidObject>,
}

impl ConfigView {
    /// The view of `catalog`. Where an object can't be used, what `last` has of it stays.
    pub fn build(catalog: &Catalog, last: &ConfigView) -> ConfigView {
        let mut view = ConfigView::default();
        let live =
            |kind| catalog.objects().filter(move |o: &&Object| o.id.kind == kind && !o.deleted);
        for object in live(Kind::Service) {
            view.add_service(object, last);
        }
        for object in live(Kind::Plan) {
            let plan = view.json(object).unwrap_or_default();
            if let Some(service) = view.services.get_mut(&ServiceId::new(&object.id.name)) {
                service.plan = plan;
            }
        }
        for object in live(Kind::Keys) {
            view.add_keys(object, last);
        }
        for object in live(Kind::Roster) {
            let sound = view.json::<Roster>(object).filter(Roster::is_valid);
            view.roster = sound.unwrap_or_else(|| last.roster.clone());
        }
        for object in live(Kind::Drains) {
            view.drains = view.json(object).unwrap_or_else(|| last.drains.clone());
        }
        for object in live(Kind::Vms) {
            view.vms = view.json(object).unwrap_or_else(|| last.vms.clone());
        }
        view
    }

    /// The customer of a key, if the key is active. Compares in constant time.
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
                let service = Service { document, version, plan: ShiftPlan::default() };
                self.services.insert(name, service);
            }
            Ok(document) => {
                self.lapse(object, format!("the document names service {}", document.service));
                self.keep_service(name, last);
            }
            Err(problems) => {
                let texts: Vec<String> = problems.iter().map(ToString::to_string).collect();
                self.lapse(object, texts.join("; "));
                self.keep_service(name, last);
            }
        }
    }

    fn keep_service(&mut self, name: ServiceId, last: &ConfigView) {
        if let Some(service) = last.services.get(&name) {
            self.services.insert(name, service.clone());
        }
    }

    fn add_keys(&mut self, object: &Object, last: &ConfigView) {
        let customer = CustomerId::new(&object.id.name);
        match self.json::<KeySet>(object) {
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

    fn json<T: serde::de::DeserializeOwned>(&mut self, object: &Object) -> Option<T> {
        match serde_json::from_str(&object.body) {
            Ok(value) => Some(value),
            Err(e) => {
                self.lapse(object, e.to_string());
                None
            }
        }
    }

    fn lapse(&mut self, object: &Object, cause: String) {
        let (id, version) = (object.id.to_string(), object.version);
        self.invalid.push(InvalidObject { object: id, version, cause });
    }
}

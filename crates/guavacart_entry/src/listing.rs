//! Reads the platform's instance list and keeps the addresses of entry instances.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, RwLock},
    thread,
    time::Duration,
};

use flume::Sender;
use guavacart_platform::instance_list::{HttpInstanceList, InstanceList, Listing};
use guavacart_scheduler::{
    Event,
    directory::{ListedInstance, Role},
};
use guavacart_types::InstanceId;
use tracing::warn;

use crate::core::Input;

/// Time between two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Peers' addresses, as last listed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Addresses(Arc<RwLock<HashMap<InstanceId, SocketAddr>>>);

impl Addresses {
    pub(crate) fn of(&self, id: &InstanceId) -> Option<SocketAddr> {
        let addresses = self.0.read().ok()?;
        addresses.get(id).copied()
    }

    /// Takes the listed addresses; one that is listed no more is kept, since the list lags.
    fn replace(&self, listed: &[ListedInstance]) {
        let Ok(mut addresses) = self.0.write() else {
            return;
        };
        for instance in listed {
            if let Role::Entry { id } = &instance.role {
                addresses.insert(id.clone(), instance.address);
            }
        }
    }
}

/// Reads the list again and again until the inbox closes.
pub(crate) fn poll(list: &HttpInstanceList, addresses: &Addresses, inbox: &Sender<Input>) {
    let mut known = None;
    loop {
        let event = match list.read(known.as_ref()) {
            Ok(Listing::Whole(listed, tag)) => {
                known = tag;
                addresses.replace(&listed);
                Some(Event::Listed(listed))
            }
            Ok(Listing::Unchanged) => Some(Event::ListUnchanged),
            Err(err) => {
                warn!(event = "list_unread", error = %err, "the instance list could not be read");
                None
            }
        };
        if event.is_some_and(|event| inbox.send(Input::Event(event)).is_err()) {
            return;
        }
        thread::sleep(LIST_INTERVAL);
    }
}

//! Polls the platform's instance list and keeps the addresses of entry instances.

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

use crate::reducer_thread::Input;

/// Pause between two reads of the list.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Addresses of the peers, as last listed; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerAddresses(Arc<RwLock<HashMap<InstanceId, SocketAddr>>>);

impl PeerAddresses {
    /// Returns the address of an instance, or none if it was never listed.
    pub(crate) fn get(&self, id: &InstanceId) -> Option<SocketAddr> {
        let addresses = self.0.read().ok()?;
        addresses.get(id).copied()
    }

    /// Applies the listed addresses.
    ///
    /// Keeps addresses that are no longer listed, since the list may lag behind the instances.
    fn update(&self, listed: &[ListedInstance]) {
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

/// Reads the list at intervals and passes it to the reducer, until the inbox closes.
pub(crate) fn poll(list: &HttpInstanceList, addresses: &PeerAddresses, inbox: &Sender<Input>) {
    let mut known_tag = None;
    loop {
        let event = match list.read(known_tag.as_ref()) {
            Ok(Listing::Full(listed, tag)) => {
                known_tag = tag;
                addresses.update(&listed);
                Some(Event::ListRead(listed))
            }
            Ok(Listing::Unchanged) => Some(Event::ListUnchanged),
            Err(err) => {
                warn!(event = "list_unread", error = %err, "the instance list could not be read; the last one stays in use");
                None
            }
        };
        if event.is_some_and(|event| inbox.send(Input::Event(event)).is_err()) {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

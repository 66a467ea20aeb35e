use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;

use crate::kernel::connections::{
    ConnectionCapacity, ConnectionClass, ConnectionEffect, ConnectionEntry, ConnectionId, ConnectionPhase,
};
use crate::prelude::*;

/// The connections of a process and the bytes that they may buffer.
///
/// When there is no room left, the connection with the least recent progress is closed. What it held is given
/// on only after it has been freed, so the process never holds more than its capacity.
pub struct ConnectionTable {
    capacity: ConnectionCapacity,
    entries: FastMap<ConnectionId, ConnectionEntry>,
    /// Connections by their last progress.
    by_progress: BTreeMap<u64, ConnectionId>,
    /// Number of connections of each listener group.
    counts: FastMap<ConnectionClass, usize>,
    /// Number of connections of each listener group and address.
    address_counts: FastMap<(ConnectionClass, IpAddr), usize>,
    next_progress: u64,
    /// Bytes granted to all connections for requests.
    used_bytes: usize,
    /// Bytes of answers that clients have not received.
    used_answer_bytes: usize,
    /// Connections that wait for an evicted one to end.
    waiting_opens: VecDeque<(ConnectionId, IpAddr, ConnectionClass)>,
    /// Connections that wait for bytes, each with the total that it asked for.
    waiting_reservations: VecDeque<(ConnectionId, usize)>,
}

impl ConnectionTable {
    /// Returns a table without connections.
    #[must_use]
    pub fn new(capacity: ConnectionCapacity) -> Self {
        Self {
            capacity,
            entries: FastMap::default(),
            by_progress: BTreeMap::new(),
            counts: FastMap::default(),
            address_counts: FastMap::default(),
            next_progress: 0,
            used_bytes: 0,
            used_answer_bytes: 0,
            waiting_opens: VecDeque::new(),
            waiting_reservations: VecDeque::new(),
        }
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes granted to all connections for requests.
    #[must_use]
    pub const fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Returns the bytes of answers that clients have not received.
    #[must_use]
    pub const fn used_answer_bytes(&self) -> usize {
        self.used_answer_bytes
    }

    /// Asks to admit a connection. The answer is an effect for it, now or after another connection has ended.
    pub fn open(
        &mut self,
        id: ConnectionId,
        address: IpAddr,
        class: ConnectionClass,
    ) -> Vec<ConnectionEffect> {
        if self.has_room_for(address, class) && self.waiting_opens.is_empty() {
            return vec![self.admit(id, address, class)];
        }
        self.waiting_opens.push_back((id, address, class));
        self.evict_for_opens()
    }

    /// Withdraws a connection that has not been admitted.
    pub fn withdraw(&mut self, id: ConnectionId) {
        self.waiting_opens.retain(|(waiting, _, _)| *waiting != id);
    }

    /// Asks for `total` bytes for a connection that receives a request, in place of those that it has. The
    /// answer is an effect for it, now or after another connection has ended.
    pub fn reserve(&mut self, id: ConnectionId, total: usize) -> Vec<ConnectionEffect> {
        self.record_progress(id);
        if !self.entries.contains_key(&id) {
            return Vec::new();
        }
        if self.waiting_reservations.is_empty() && self.grant(id, total) {
            return vec![ConnectionEffect::Grant(id)];
        }
        self.waiting_reservations.push_back((id, total));
        let Some(mut effects) = self.evict_for(self.missing_bytes(), Some(id)) else {
            self.waiting_reservations.pop_back();
            return vec![ConnectionEffect::Deny(id)];
        };
        effects.extend(self.grant_waiting());
        effects
    }

    /// Counts the bytes of an answer that a client has not received, in place of those of its request. They are in
    /// memory already and are never refused; beyond the capacity, the connections with other answers that progress
    /// least are closed.
    pub fn hold_answer(&mut self, id: ConnectionId, bytes: usize) -> Vec<ConnectionEffect> {
        let Some(entry) = self.entries.get_mut(&id) else { return Vec::new() };
        self.used_bytes -= std::mem::take(&mut entry.bytes);
        self.used_answer_bytes = self.used_answer_bytes - entry.answer_bytes + bytes;
        entry.answer_bytes = bytes;
        let mut effects = self.evict_for_answers(id);
        effects.extend(self.grant_waiting());
        effects
    }

    /// Sets what a connection does, which counts as progress. One that becomes idle holds no bytes any more.
    pub fn set_phase(&mut self, id: ConnectionId, phase: ConnectionPhase) -> Vec<ConnectionEffect> {
        self.record_progress(id);
        let Some(entry) = self.entries.get_mut(&id) else { return Vec::new() };
        entry.phase = phase;
        match phase {
            ConnectionPhase::Idle => {
                let mut effects = self.hold_answer(id, 0);
                effects.extend(self.evict_for_opens());
                effects
            }
            // Its request was complete before it was told to close, so it goes on.
            ConnectionPhase::Handling if std::mem::take(&mut entry.evicted) => self.replace_victim(),
            ConnectionPhase::Handling => Vec::new(),
            ConnectionPhase::Receiving | ConnectionPhase::Answering => self.evict_for_opens(),
        }
    }

    /// Removes a connection that has ended; what it held goes to those that wait.
    pub fn close(&mut self, id: ConnectionId) -> Vec<ConnectionEffect> {
        self.waiting_reservations.retain(|(waiting, _)| *waiting != id);
        if let Some(entry) = self.entries.remove(&id) {
            self.by_progress.remove(&entry.progress);
            self.used_bytes -= entry.bytes;
            self.used_answer_bytes -= entry.answer_bytes;
            self.count(entry.address, entry.class, |count| count - 1);
        }
        let mut effects = self.admit_waiting();
        effects.extend(self.evict_for_opens());
        effects.extend(self.grant_waiting());
        effects
    }

    fn has_room_for(&self, address: IpAddr, class: ConnectionClass) -> bool {
        self.counts.get(&class).copied().unwrap_or_default() < self.capacity.connections(class)
            && self.address_count(address, class) < self.capacity.connections_per_address(class)
    }

    fn address_count(&self, address: IpAddr, class: ConnectionClass) -> usize {
        self.address_counts.get(&(class, address)).copied().unwrap_or_default()
    }

    fn count(&mut self, address: IpAddr, class: ConnectionClass, change: impl Fn(usize) -> usize) {
        let count = self.counts.entry(class).or_default();
        *count = change(*count);
        let count = self.address_counts.entry((class, address)).or_default();
        *count = change(*count);
        if *count == 0 {
            self.address_counts.remove(&(class, address));
        }
    }

    fn admit(&mut self, id: ConnectionId, address: IpAddr, class: ConnectionClass) -> ConnectionEffect {
        self.count(address, class, |count| count + 1);
        let progress = self.next_progress;
        self.next_progress += 1;
        self.by_progress.insert(progress, id);
        let phase = ConnectionPhase::Idle;
        let entry =
            ConnectionEntry { address, class, phase, bytes: 0, answer_bytes: 0, progress, evicted: false };
        self.entries.insert(id, entry);
        ConnectionEffect::Admit(id)
    }

    fn admit_waiting(&mut self) -> Vec<ConnectionEffect> {
        let mut effects = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting_opens);
        waiting.retain(|(id, address, class)| {
            let admitted = self.has_room_for(*address, *class);
            if admitted {
                effects.push(self.admit(*id, *address, *class));
            }
            !admitted
        });
        self.waiting_opens = waiting;
        effects
    }

    fn record_progress(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        self.by_progress.remove(&entry.progress);
        entry.progress = self.next_progress;
        self.by_progress.insert(entry.progress, id);
        self.next_progress += 1;
    }

    /// Returns the connection with the least recent progress among those that `accepts` selects.
    fn stalest(&self, accepts: impl Fn(&ConnectionEntry) -> bool) -> Option<ConnectionId> {
        self.by_progress.values().copied().find(|id| self.entries.get(id).is_some_and(&accepts))
    }

    fn evict(&mut self, id: ConnectionId) -> ConnectionEffect {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.evicted = true;
        }
        ConnectionEffect::Evict(id)
    }

    /// Closes a connection for each one that waits to be admitted and for which none is closing yet. If all are
    /// being answered, it waits until one is not.
    fn evict_for_opens(&mut self) -> Vec<ConnectionEffect> {
        if self.waiting_opens.is_empty() {
            return Vec::new();
        }
        let mut closing = self.entries.values().filter(|entry| entry.evicted).count();
        let mut effects = Vec::new();
        for (_, address, class) in self.waiting_opens.clone() {
            if closing > 0 {
                closing -= 1;
                continue;
            }
            let same_address =
                self.address_count(address, class) >= self.capacity.connections_per_address(class);
            let replaces = |entry: &ConnectionEntry| {
                entry.class == class && (!same_address || entry.address == address) && entry.is_evictable()
            };
            if let Some(victim) = self.stalest(replaces) {
                effects.push(self.evict(victim));
            }
        }
        effects
    }

    /// Closes the connections other than `spared` that progress least until `needed` bytes of requests become free, counting
    /// those of connections that are closed already; `None`, without effect, if they cannot.
    fn evict_for(&mut self, needed: usize, spared: Option<ConnectionId>) -> Option<Vec<ConnectionEffect>> {
        if needed == 0 {
            return Some(Vec::new());
        }
        let mut freed: usize =
            self.entries.values().filter(|entry| entry.evicted).map(|entry| entry.bytes).sum();
        let mut victims = Vec::new();
        for candidate in self.by_progress.values().copied().filter(|candidate| Some(*candidate) != spared) {
            if freed >= needed {
                break;
            }
            let Some(entry) = self.entries.get(&candidate) else { continue };
            if entry.bytes > 0 && entry.is_evictable() {
                freed += entry.bytes;
                victims.push(candidate);
            }
        }
        if freed < needed {
            return None;
        }
        Some(victims.into_iter().map(|victim| self.evict(victim)).collect())
    }

    /// Finds other room for those that waited for a connection that goes on, or denies them what they wait for.
    fn replace_victim(&mut self) -> Vec<ConnectionEffect> {
        let mut effects = self.evict_for_opens();
        if let Some(evictions) = self.evict_for(self.missing_bytes(), None) {
            effects.extend(evictions);
        } else {
            let denied = self.waiting_reservations.drain(..);
            effects.extend(denied.map(|(id, _)| ConnectionEffect::Deny(id)));
        }
        effects
    }

    /// Closes the connections other than `id` with the answers that progress least, until the others fit.
    fn evict_for_answers(&mut self, id: ConnectionId) -> Vec<ConnectionEffect> {
        let closing: usize =
            self.entries.values().filter(|entry| entry.evicted).map(|entry| entry.answer_bytes).sum();
        let mut excess = (self.used_answer_bytes - closing).saturating_sub(self.capacity.answer_bytes);
        let mut effects = Vec::new();
        while excess > 0 {
            let holds_answer = |entry: &ConnectionEntry| entry.answer_bytes > 0 && entry.is_evictable();
            let spared = self.entries.get(&id).map(|entry| entry.progress);
            let victim = self.stalest(|entry| holds_answer(entry) && Some(entry.progress) != spared);
            let Some(victim) = victim else { break };
            excess = excess.saturating_sub(self.entries.get(&victim).map_or(0, |entry| entry.answer_bytes));
            effects.push(self.evict(victim));
        }
        effects
    }

    /// Returns how many bytes must become free for all that wait for some.
    fn missing_bytes(&self) -> usize {
        let missing = |(id, total): &(ConnectionId, usize)| self.missing(*id, *total);
        let waiting: usize = self.waiting_reservations.iter().map(missing).sum();
        (self.used_bytes + waiting).saturating_sub(self.capacity.bytes)
    }

    /// Returns how many more bytes a connection needs to have this total.
    fn missing(&self, id: ConnectionId, total: usize) -> usize {
        self.entries.get(&id).map_or(0, |entry| total.saturating_sub(entry.bytes))
    }

    /// Grants a connection this total if there is room for it.
    fn grant(&mut self, id: ConnectionId, total: usize) -> bool {
        let missing = self.missing(id, total);
        if self.used_bytes + missing > self.capacity.bytes {
            return false;
        }
        self.used_bytes += missing;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.bytes += missing;
        }
        true
    }

    fn grant_waiting(&mut self) -> Vec<ConnectionEffect> {
        let mut effects = Vec::new();
        while let Some((id, total)) = self.waiting_reservations.front().copied() {
            if !self.grant(id, total) {
                break;
            }
            self.waiting_reservations.pop_front();
            effects.push(ConnectionEffect::Grant(id));
        }
        effects
    }
}

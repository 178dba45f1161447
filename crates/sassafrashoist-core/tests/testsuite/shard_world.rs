//! A simulation of several VMs in several data centres with one log, driven step by step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sassafrashoist_core::budgets::ledger::{Ledger, LedgerChange};
use sassafrashoist_core::budgets::policy::BudgetPolicy;
use sassafrashoist_core::budgets::record::{LedgerEvent, LedgerRecord};
use sassafrashoist_core::budgets::shard::{ShardLocation, shard_of};
use sassafrashoist_core::ids::{Epoch, Incarnation, RequestKey, Tokens, VmId};
use sassafrashoist_core::invariants::Invariants;
use sassafrashoist_core::owner::admit::{AdmitDecision, AdmitRequest};
use sassafrashoist_core::owner::propose_view::{PeerStatus, propose_view};
use sassafrashoist_core::owner::replica_delta::{DeltaResponse, ReplicaDelta};
use sassafrashoist_core::owner::settle::{SettleOutcome, SettleRequest};
use sassafrashoist_core::owner::shard_replica::{ChangeNumber, CommitState, ShardReplica};
use sassafrashoist_core::owner::shard_table::ShardTable;
use sassafrashoist_core::owner::transfer::{Transfer, TransferRequest};
use sassafrashoist_core::requests::key_entry::{AttemptRunner, KeyBinding};
use sassafrashoist_core::result_code::ResultCode;

pub const BUDGET: &str = "b";
const NOW: Duration = Duration::from_secs(1_000);

#[derive(Debug)]
pub struct Node {
    pub data_centre: usize,
    pub vm_id: VmId,
    pub incarnation: Incarnation,
    pub ledger: Ledger,
    pub table: ShardTable,
    pub is_paused: bool,
    uncommitted_requests: Vec<(RequestKey, Tokens, ChangeNumber)>,
    pending_acks: Vec<(Transfer, ChangeNumber)>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    Delta(ReplicaDelta),
    DeltaResponse(Epoch, DeltaResponse),
    RequestTokens(TransferRequest),
    Transfer(Transfer),
    Ack(Transfer),
}

#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    from: usize,
    to: usize,
    to_incarnation: Incarnation,
    message: Message,
}

/// The cost of a request that was sent to a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Dispatched {
    pub reserved_tokens: Tokens,
    pub used_tokens: Option<Tokens>,
}

#[derive(Debug)]
pub struct World {
    pub data_centre_count: usize,
    pub nodes: Vec<Node>,
    pub log: Vec<LedgerRecord>,
    pub messages: Vec<Envelope>,
    pub dispatched: BTreeMap<RequestKey, Vec<Dispatched>>,
    cut_pairs: BTreeSet<(usize, usize)>,
    cut_logs: BTreeSet<usize>,
    top_up_count: u64,
    pub sent_deltas: Vec<ReplicaDelta>,
}

pub fn data_centre_id(index: usize) -> String {
    format!("dc{index}")
}

impl World {
    pub fn new(data_centre_count: usize, vm_count: usize) -> Self {
        let vms = (0..data_centre_count * vm_count).map(|index| index % data_centre_count);
        let nodes = vms.enumerate().map(|(index, data_centre)| new_node(index, data_centre, 1));
        Self {
            data_centre_count,
            nodes: nodes.collect(),
            log: Vec::new(),
            messages: Vec::new(),
            dispatched: BTreeMap::new(),
            cut_pairs: BTreeSet::new(),
            cut_logs: BTreeSet::new(),
            top_up_count: 0,
            sent_deltas: Vec::new(),
        }
    }

    /// Returns the ledger after all records of the log.
    pub fn whole_ledger(&self) -> Ledger {
        let mut ledger = Ledger::default();
        for (offset, record) in self.log.iter().enumerate() {
            ledger.apply(offset as u64, record).unwrap();
        }
        ledger
    }

    pub fn top_up(&mut self, tokens: Tokens, favoured: usize) {
        self.top_up_count += 1;
        let weights = (0..self.data_centre_count)
            .map(|index| (data_centre_id(index), if index == favoured { 4 } else { 1 }))
            .collect();
        let record = LedgerRecord::new(LedgerEvent::TopUp {
            top_up_id: format!("t{}", self.top_up_count),
            budget_id: BUDGET.to_owned(),
            paid_tokens: tokens,
            split_tokens: sassafrashoist_core::budgets::split::split_by_weight(tokens, &weights),
            operator_id: "awa".to_owned(),
        });
        self.log.push(record);
    }

    pub fn cut_link(&mut self, a: usize, b: usize, is_cut: bool) {
        let pair = (a.min(b), a.max(b));
        if is_cut {
            self.cut_pairs.insert(pair);
        } else {
            self.cut_pairs.remove(&pair);
        }
    }

    pub fn cut_log(&mut self, node: usize, is_cut: bool) {
        if is_cut {
            self.cut_logs.insert(node);
        } else {
            self.cut_logs.remove(&node);
        }
    }

    pub fn repair(&mut self) {
        self.cut_pairs.clear();
        self.cut_logs.clear();
        for node in &mut self.nodes {
            node.is_paused = false;
        }
    }

    pub fn crash(&mut self, index: usize) {
        let node = &self.nodes[index];
        self.nodes[index] = new_node(index, node.data_centre, node.incarnation + 1);
    }

    pub fn read_log(&mut self, index: usize, max_count: usize) {
        if self.cut_logs.contains(&index) || self.nodes[index].is_paused {
            return;
        }
        let node = &mut self.nodes[index];
        for _ in 0..max_count {
            let offset = node.ledger.next_offset;
            let Some(record) = self.log.get(offset as usize) else {
                return;
            };
            for change in node.ledger.apply(offset, record).unwrap() {
                node.table.apply_ledger_change(&node.ledger, &change);
            }
        }
    }

    /// Lets a VM do all pending work: propose a view, draw tokens, replicate, send transfers and
    /// dispatch requests.
    pub fn step(&mut self, index: usize, repeats_appends: bool) {
        if self.nodes[index].is_paused {
            return;
        }
        let appends = if repeats_appends { 2 } else { 1 };
        if !self.cut_logs.contains(&index) {
            let proposals = [self.proposed_view(index), self.proposed_draw(index)];
            for record in proposals.into_iter().flatten() {
                self.log.extend(std::iter::repeat_n(record, appends));
            }
        }
        self.replicate(index);
        self.send_transfers(index);
        self.dispatch_committed(index);
    }

    /// Runs a number of rounds, in which every VM reads the log and does its pending work, and
    /// every message is delivered.
    pub fn run_all(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for index in 0..self.nodes.len() {
                self.read_log(index, usize::MAX);
                self.step(index, false);
            }
            for _ in 0..self.messages.len() {
                self.deliver(0, false);
            }
        }
    }

    /// Pauses a VM while the others run a number of rounds, then resumes it cut off from the log.
    pub fn pause_during_rounds(&mut self, index: usize, rounds: usize) {
        self.nodes[index].is_paused = true;
        self.run_all(rounds);
        self.nodes[index].is_paused = false;
        self.cut_log(index, true);
    }

    /// Adds a copy of every message in flight.
    pub fn repeat_messages(&mut self) {
        let copies = self.messages.clone();
        self.messages.extend(copies);
    }

    /// Applies a delayed delta to a VM's replica.
    pub fn apply_delta(&mut self, index: usize, delta: ReplicaDelta) -> DeltaResponse {
        self.replica_mut(index).apply_delta(delta, NOW)
    }

    /// Lets a VM append a checkpoint of its account to the log.
    pub fn checkpoint(&mut self, index: usize) {
        let ledger = &self.nodes[index].ledger;
        let record = self.replica(index).propose_checkpoint(ledger, &[BUDGET.to_owned()]);
        self.log.extend(record);
    }

    /// Returns the tokens that a VM holds as the primary.
    pub fn held_tokens(&self, index: usize) -> Tokens {
        self.nodes[index].table.account(BUDGET).held_tokens
    }

    /// Returns the primary of a data centre's newest view, if it has entered that view.
    pub fn newest_primary(&self, ledger: &Ledger, data_centre_id: &str) -> Option<usize> {
        let view = ledger.view(data_centre_id, shard_of(BUDGET))?;
        let index = self.nodes.iter().position(|node| node.vm_id == view.primary_vm_id)?;
        let replica = self.replica(index);
        let is_newest = replica.is_primary() && replica.view_epoch() == view.epoch;
        is_newest.then_some(index)
    }

    /// Returns the number of fresh views of a data centre, including the first one.
    pub fn fresh_view_count(&self, id: &str) -> usize {
        let mut ledger = Ledger::default();
        let mut count = 0;
        for (offset, record) in self.log.iter().enumerate() {
            for change in ledger.apply(offset as u64, record).unwrap() {
                if let LedgerChange::ViewActivated(view) = change {
                    count += usize::from(view.is_fresh && view.location.data_centre_id == id);
                }
            }
        }
        count
    }

    pub fn admit(&mut self, index: usize, key: &str, tokens: Tokens) {
        let node = &mut self.nodes[index];
        if node.is_paused {
            return;
        }
        let admit = AdmitRequest {
            key: format!("{}/{key}", node.data_centre),
            binding: KeyBinding { account_id: "a".into(), route_id: "r".into(), body_hash: 1 },
            budget_id: BUDGET.to_owned(),
            worst_case_tokens: tokens,
            is_idempotent: false,
            runner: AttemptRunner { vm_id: "v".into(), incarnation: 1, server_id: "s".into() },
        };
        let key = admit.key.clone();
        if let Some((AdmitDecision::Admitted { .. }, change)) = node.table.admit(admit, NOW) {
            node.uncommitted_requests.push((key, tokens, change.number));
        }
    }

    /// Ends a dispatched request and sends its settlement to every VM that is not paused.
    pub fn settle(&mut self, pick: usize, used_per_mille: u64) {
        let keys: Vec<RequestKey> = self.dispatched.keys().cloned().collect();
        if keys.is_empty() {
            return;
        }
        let key = &keys[pick % keys.len()];
        let Some(dispatched) =
            self.dispatched.get_mut(key).and_then(|dispatches| dispatches.last_mut())
        else {
            return;
        };
        let used_tokens = dispatched
            .used_tokens
            .unwrap_or(dispatched.reserved_tokens * used_per_mille.min(1_000) / 1_000);
        dispatched.used_tokens = Some(used_tokens);
        for node in self.nodes.iter_mut().filter(|node| !node.is_paused) {
            let settle = SettleRequest {
                key: key.clone(),
                attempt: 1,
                outcome: SettleOutcome::Ran { used_tokens, response: None },
                code: ResultCode::Done,
            };
            node.table.settle(BUDGET, settle, NOW, &Invariants::default());
        }
    }

    pub fn request_tokens(&mut self, from: usize, to: usize, requested_tokens: Tokens) {
        let to_data_centre_id = data_centre_id(self.nodes[from].data_centre);
        let request = TransferRequest {
            to_data_centre_id,
            budget_id: BUDGET.to_owned(),
            requested_tokens,
            is_urgent: true,
        };
        if self.nodes[from].data_centre != self.nodes[to].data_centre {
            self.send(from, to, Message::RequestTokens(request));
        }
    }

    /// Delivers a message; a repeated one also stays in flight to be delivered again.
    pub fn deliver(&mut self, pick: usize, is_repeated: bool) {
        if self.messages.is_empty() {
            return;
        }
        let position = pick % self.messages.len();
        let envelope = if is_repeated {
            self.messages[position].clone()
        } else {
            self.messages.remove(position)
        };
        let Envelope { from, to, .. } = envelope;
        let is_cut = self.cut_pairs.contains(&(from.min(to), from.max(to)));
        if is_cut || self.nodes[to].is_paused {
            if !is_repeated {
                self.messages.push(envelope);
            }
            return;
        }
        if envelope.to_incarnation == self.nodes[to].incarnation {
            self.receive(from, to, envelope.message);
        }
    }

    pub fn drop_message(&mut self, pick: usize) {
        if !self.messages.is_empty() {
            let position = pick % self.messages.len();
            self.messages.remove(position);
        }
    }

    pub fn replica(&self, index: usize) -> &ShardReplica {
        self.nodes[index].table.replica(shard_of(BUDGET)).unwrap()
    }

    fn replica_mut(&mut self, index: usize) -> &mut ShardReplica {
        self.nodes[index].table.replica_mut(shard_of(BUDGET)).unwrap()
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        match message {
            Message::Delta(delta) => {
                let epoch = delta.epoch;
                let response = self.replica_mut(to).apply_delta(delta, NOW);
                self.send(to, from, Message::DeltaResponse(epoch, response));
            }
            Message::DeltaResponse(epoch, response) => {
                self.replica_mut(to).apply_backup_response(epoch, response)
            }
            Message::RequestTokens(request) => {
                self.replica_mut(to).send_tokens(request);
            }
            Message::Transfer(transfer) => {
                if let Some(change) = self.replica_mut(to).receive_transfer(&transfer) {
                    self.nodes[to].pending_acks.push((transfer, change));
                }
            }
            Message::Ack(transfer) => self.replica_mut(to).acknowledge(&transfer),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if let Message::Delta(delta) = &message {
            self.sent_deltas.push(delta.clone());
        }
        let to_incarnation = self.nodes[to].incarnation;
        let envelope = Envelope { from, to, to_incarnation, message };
        if !self.messages.contains(&envelope) {
            self.messages.push(envelope);
        }
    }

    fn proposed_view(&self, index: usize) -> Option<LedgerRecord> {
        let node = &self.nodes[index];
        if node.ledger.next_offset < self.log.len() as u64 {
            return None;
        }
        let location = ShardLocation {
            data_centre_id: data_centre_id(node.data_centre),
            shard: shard_of(BUDGET),
        };
        let current = node.ledger.view(&location.data_centre_id, location.shard);
        let ranked: Vec<PeerStatus> = (0..self.nodes.len())
            .filter(|other| self.nodes[*other].data_centre == node.data_centre)
            .map(|other| self.peer_status(index, other))
            .collect();
        let own = (&node.vm_id, node.incarnation);
        let view = propose_view(self.replica(index), &location, current, &ranked, own)?;
        Some(LedgerRecord::new(LedgerEvent::View(view)))
    }

    fn peer_status(&self, index: usize, other: usize) -> PeerStatus {
        let pair = (index.min(other), index.max(other));
        let node = &self.nodes[other];
        let is_reachable = !self.cut_pairs.contains(&pair) && !node.is_paused;
        let replica = self.replica(other);
        PeerStatus {
            vm_id: node.vm_id.clone(),
            is_reachable,
            is_unlisted: false,
            incarnation: is_reachable.then_some(node.incarnation),
            state_epoch: if is_reachable { replica.state_epoch() } else { None },
        }
    }

    fn proposed_draw(&self, index: usize) -> Option<LedgerRecord> {
        self.replica(index).propose_draw(&self.nodes[index].ledger, BudgetPolicy::Pair)
    }

    fn replicate(&mut self, index: usize) {
        let Some(delta) = self.replica_mut(index).next_delta() else {
            return;
        };
        let backup = self.replica(index).backup_vm_id().cloned();
        let to = self.nodes.iter().position(|node| Some(&node.vm_id) == backup.as_ref());
        if let Some(to) = to {
            self.send(index, to, Message::Delta(delta));
        }
    }

    fn send_transfers(&mut self, index: usize) {
        for transfer in self.replica(index).transfers_to_send() {
            for to in 0..self.nodes.len() {
                if data_centre_id(self.nodes[to].data_centre) == transfer.to_data_centre_id {
                    self.send(index, to, Message::Transfer(transfer.clone()));
                }
            }
        }
        for (transfer, change) in std::mem::take(&mut self.nodes[index].pending_acks) {
            match self.replica(index).commit_state(change) {
                CommitState::Waiting => self.nodes[index].pending_acks.push((transfer, change)),
                CommitState::Lost => {}
                CommitState::Committed => {
                    for to in 0..self.nodes.len() {
                        if data_centre_id(self.nodes[to].data_centre)
                            == transfer.from.data_centre_id
                        {
                            self.send(index, to, Message::Ack(transfer.clone()));
                        }
                    }
                }
            }
        }
    }

    fn dispatch_committed(&mut self, index: usize) {
        for (key, tokens, change) in std::mem::take(&mut self.nodes[index].uncommitted_requests) {
            match self.replica(index).commit_state(change) {
                CommitState::Waiting => {
                    self.nodes[index].uncommitted_requests.push((key, tokens, change))
                }
                CommitState::Lost => {}
                CommitState::Committed => {
                    let dispatched = Dispatched { reserved_tokens: tokens, used_tokens: None };
                    self.dispatched.entry(key).or_default().push(dispatched);
                }
            }
        }
    }
}

fn new_node(index: usize, data_centre: usize, incarnation: Incarnation) -> Node {
    let vm_id = format!("vm{index}");
    Node {
        data_centre,
        vm_id: vm_id.clone(),
        incarnation,
        ledger: Ledger::default(),
        table: ShardTable::new(data_centre_id(data_centre), vm_id, incarnation),
        is_paused: false,
        uncommitted_requests: Vec::new(),
        pending_acks: Vec::new(),
    }
}

//! Collects the contents of the operators' pages from the other tasks, by message.

use std::collections::BTreeMap;

use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};

use crate::kernel::{JobState, LedgerState, ShardSummary, TeamWaits};
use crate::prelude::*;
use crate::tasks::adapter::DirectoryAdapter;
use crate::tasks::admission::AdmissionMessage;
use crate::tasks::journal::JournalMessage;
use crate::tasks::peer::PeerMessage;
use crate::tasks::peer_explain::ForwardedExplain;
use crate::tasks::router::RouterMessage;
use crate::tasks::scheduler::SchedulerMessage;
use crate::tasks::vm_list::CachedList;

/// Senders to the tasks that hold the state, and the adapter that reads the VM list. Each method returns
/// `None` if the process is stopping and a task that it asks has ended.
#[derive(Clone)]
pub struct OperatorView {
    /// Sender to the journal task.
    pub journal: mpsc::Sender<JournalMessage>,
    /// Sender to the scheduler task.
    pub scheduler: mpsc::Sender<SchedulerMessage>,
    /// Sender to the router task.
    pub router: mpsc::Sender<RouterMessage>,
    /// Sender to the admission task.
    pub admission: mpsc::Sender<AdmissionMessage>,
    /// Sender to the peer task.
    pub peer: mpsc::Sender<PeerMessage>,
    /// Adapter that reads the VM list.
    pub directory: DirectoryAdapter,
    /// Address of the VM list.
    pub directory_address: String,
}

/// Open work and allotments of one team in the ledger, over all shards.
#[derive(Default)]
struct TeamWork {
    open_jobs: usize,
    open_tasks: u64,
    allotted: ResourceVector,
}

/// Number of VMs in one zone by role, and how many of them are leaving.
#[derive(Default)]
struct ZoneVms {
    workers: u32,
    endpoints: u32,
    leaving: u32,
}

impl OperatorView {
    /// Runs a query on the ledger inside the journal task and returns its result.
    pub async fn ledger<T: Send + 'static>(
        &self,
        read: impl FnOnce(&LedgerState) -> T + Send + 'static,
    ) -> Option<T> {
        let message = |reply: oneshot::Sender<T>| {
            JournalMessage::Query(Box::new(move |ledger| {
                // The operator's connection may have been closed.
                let _ = reply.send(read(ledger));
            }))
        };
        ask(&self.journal, message).await
    }

    /// Returns why requests with a team key cannot be admitted; the inner value is `None` if they can.
    pub async fn unready_reason(&self) -> Option<Option<String>> {
        let refusal = ask(&self.admission, AdmissionMessage::UnreadyRefusal).await?;
        Some(refusal.map(|refusal| refusal.message))
    }

    /// Returns the version of the bundle in force in this process and the time since which it is in force;
    /// the inner value is `None` if there is no bundle.
    pub async fn bundle_in_force(&self) -> Option<Option<(BundleVersion, Instant)>> {
        ask(&self.admission, AdmissionMessage::BundleInForce).await
    }

    /// Returns the number of waiting tasks in the shards of this process, by team and reason.
    pub async fn waiting_tasks(&self) -> Option<TeamWaits> {
        ask(&self.scheduler, SchedulerMessage::WaitingTasks).await
    }

    /// Returns the newest bundle in the ledger, as published.
    pub async fn bundle(&self) -> Option<Value> {
        self.ledger(|ledger| serde_json::to_value(&ledger.bundle_record).unwrap_or_default()).await
    }

    /// Returns all worker shards with their owners, and with summaries of those that this process owns.
    pub async fn fleet(&self) -> Option<Value> {
        let shards = self.shards(|shard| !shard.starts_with("service:")).await?;
        let owned = ask(&self.scheduler, SchedulerMessage::Summarise).await?;
        let row = |(shard, owner): (ShardId, Option<ProcessId>)| {
            let summary = owned.iter().find(|summary| summary.shard == shard).map(shard_json);
            json!({ "shard": &*shard, "owner": owner.as_deref(), "summary": summary })
        };
        Some(json!({ "shards": shards.into_iter().map(row).collect::<Vec<Value>>() }))
    }

    /// Returns all teams with share, limit and open work in all shards, and with use and waiting tasks in the
    /// shards of this process.
    pub async fn teams(&self) -> Option<Value> {
        let waiting = self.waiting_tasks().await?;
        let owned = ask(&self.scheduler, SchedulerMessage::Summarise).await?;
        let used = move |team: &TeamId| {
            let parts = owned.iter().flat_map(|shard| &shard.used_by_team);
            parts
                .filter(|(user, _)| user == team)
                .fold(ResourceVector::default(), |sum, (_, part)| sum.plus(*part))
        };
        let teams = move |ledger: &LedgerState| {
            let work = team_work(ledger);
            let bundle = ledger.bundle.as_ref()?;
            let row = |team: &crate::kernel::TeamPolicy| {
                let none = TeamWork::default();
                let work = work.get(&team.id).unwrap_or(&none);
                json!({
                    "team": &*team.id, "share": team.share, "limit": team.limit, "allotted": work.allotted,
                    "used_here": used(&team.id), "open_jobs": work.open_jobs, "open_tasks": work.open_tasks,
                    "waiting_here": waiting.get(&team.id).cloned().unwrap_or_default(),
                })
            };
            Some(json!({ "teams": bundle.teams.iter().map(row).collect::<Vec<Value>>() }))
        };
        Some(self.ledger(teams).await?.unwrap_or_default())
    }

    /// Returns all zones of the bundle and of the VM list, with their numbers of VMs.
    pub async fn zones(&self) -> Option<Value> {
        // Reads the whole list, as the directory task keeps its copy to itself.
        let mut cached = CachedList::default();
        let fault = cached.refresh(&(self.directory.connect)(&self.directory_address)).await.err();
        let mut vms: BTreeMap<ZoneId, ZoneVms> = BTreeMap::new();
        let list = cached.list;
        for worker in &list.workers {
            let zone = vms.entry(worker.zone.clone()).or_default();
            zone.workers += 1;
            zone.leaving += u32::from(worker.leaving);
        }
        for endpoint in &list.endpoints {
            let zone = vms.entry(endpoint.zone.clone()).or_default();
            zone.endpoints += 1;
            zone.leaving += u32::from(endpoint.leaving);
        }
        let bundle = self.ledger(|ledger| ledger.bundle.clone()).await?;
        let policies = bundle.map(|bundle| bundle.zones.clone()).unwrap_or_default();
        for policy in &policies {
            vms.entry(policy.id.clone()).or_default();
        }
        let row = |(zone, vms): (ZoneId, ZoneVms)| {
            let policy = policies.iter().find(|policy| policy.id == zone);
            json!({
                "zone": &*zone, "region": policy.map(|policy| &*policy.region),
                // A zone that is not in the bundle gets no work.
                "state": policy.map_or("not in the bundle".to_owned(), |policy| policy.state.to_string()),
                "workers": vms.workers, "endpoints": vms.endpoints, "leaving": vms.leaving,
            })
        };
        Some(json!({ "vm_list_fault": fault, "zones": vms.into_iter().map(row).collect::<Vec<Value>>() }))
    }

    /// Returns all service partitions with their owners, and with the endpoints of those that this process
    /// owns.
    pub async fn endpoints(&self) -> Option<Value> {
        let shards = self.shards(|shard| shard.starts_with("service:")).await?;
        let owned = ask(&self.router, RouterMessage::Summarise).await?;
        let row = |(shard, owner): (ShardId, Option<ProcessId>)| {
            let endpoints = owned.iter().find(|(held, _)| *held == shard).map(|(_, endpoints)| endpoints);
            json!({ "partition": &*shard, "owner": owner.as_deref(), "endpoints": endpoints })
        };
        Some(json!({ "partitions": shards.into_iter().map(row).collect::<Vec<Value>>() }))
    }

    /// Returns the state of a job and why its tasks run or wait; null if no such job was accepted.
    pub async fn explain_job(&self, job: JobId) -> Option<Value> {
        let key = job.clone();
        let found = self.ledger(move |ledger| {
            let state = ledger.jobs.get(&key)?;
            let owner = ledger.claims.get(&state.shard).map(|claim| claim.process.clone());
            Some((state.clone(), owner))
        });
        let Some((state, owner)) = found.await? else { return Some(Value::Null) };
        let explanation = ask(&self.scheduler, |reply| SchedulerMessage::Explain(job.clone(), reply)).await?;
        let tasks = match (explanation, &owner) {
            (None, Some(owner)) if state.outcome.is_none() => {
                self.explain_at_owner(owner.clone(), job.clone()).await
            }
            (explanation, _) => serde_json::to_value(explanation).unwrap_or_default(),
        };
        Some(json!({
            "job": &*job, "state": job_state_label(&state), "shard": &*state.shard, "owner": owner.as_deref(),
            "outcome": state.outcome, "spec": state.spec, "tasks": tasks,
        }))
    }

    /// Asks the owner of the job's shard about its tasks; returns null if it does not answer in time.
    async fn explain_at_owner(&self, owner: ProcessId, job: JobId) -> Value {
        let message = |reply| PeerMessage::Explain(ForwardedExplain { owner, job, reply });
        let explanation = ask(&self.peer, message).await;
        explanation.and_then(|text| serde_json::from_str(&text).ok()).unwrap_or_default()
    }

    /// Returns the stage of a request and whether its intent is recorded; null if neither the ledger nor an
    /// owned partition has the request.
    pub async fn explain_request(&self, request: RequestId) -> Option<Value> {
        let key = request.clone();
        let intent_recorded = self.ledger(move |ledger| ledger.intents.digest(&key).is_some()).await?;
        let stage = ask(&self.router, |reply| RouterMessage::Explain(request.clone(), reply)).await?;
        if stage.is_none() && !intent_recorded {
            return Some(Value::Null);
        }
        Some(json!({ "request": &*request, "announced": intent_recorded, "stage": stage }))
    }

    /// Returns the shards of the bundle that `select` accepts, sorted, with their owners.
    async fn shards(&self, select: fn(&ShardId) -> bool) -> Option<Vec<(ShardId, Option<ProcessId>)>> {
        let shards = move |ledger: &LedgerState| {
            let mut shards = ledger.bundle.as_ref().map(|bundle| bundle.shards()).unwrap_or_default();
            shards.retain(select);
            shards.sort_unstable();
            let owner = |shard: &ShardId| ledger.claims.get(shard).map(|claim| claim.process.clone());
            shards.into_iter().map(|shard| (shard.clone(), owner(&shard))).collect()
        };
        self.ledger(shards).await
    }
}

/// Sends a message with a reply sender to a task and waits for the reply; returns `None` if the task has
/// ended.
async fn ask<M, T>(sender: &mpsc::Sender<M>, message: impl FnOnce(oneshot::Sender<T>) -> M) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    // If the task has ended, the message is dropped and its reply sender with it.
    let _ = sender.send(message(reply)).await;
    answer.await.ok()
}

fn team_work(ledger: &LedgerState) -> FastMap<TeamId, TeamWork> {
    let mut work: FastMap<TeamId, TeamWork> = FastMap::default();
    for job in ledger.jobs.values().filter(|job| job.outcome.is_none()) {
        let team = work.entry(job.spec.team.clone()).or_default();
        team.open_jobs += 1;
        team.open_tasks += u64::from(job.spec.tasks);
    }
    for ((_, team), amount) in ledger.allotments.iter() {
        let team = work.entry(team.clone()).or_default();
        team.allotted = team.allotted.plus(*amount);
    }
    work
}

fn shard_json(summary: &ShardSummary) -> Value {
    let by_team = |parts: &[(TeamId, ResourceVector)]| -> BTreeMap<String, ResourceVector> {
        parts.iter().map(|(team, amount)| (team.to_string(), *amount)).collect()
    };
    json!({
        "workers": summary.workers, "workers_heard": summary.workers_heard, "waiting": summary.waiting,
        "capacity": summary.capacity, "used": summary.used, "used_by_team": by_team(&summary.used_by_team),
        "allotments": by_team(&summary.allotments),
    })
}

fn job_state_label(state: &JobState) -> &'static str {
    match &state.outcome {
        Some(outcome) => outcome.label(),
        None if state.cancelled => "being cancelled",
        None => "open",
    }
}

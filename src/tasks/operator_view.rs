//! Collects what operators ask for from the other tasks, by message.

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

/// Senders to the tasks that know. Each method returns nothing if a task has ended.
#[derive(Clone)]
pub struct OperatorView {
    /// The journal task.
    pub journal: mpsc::Sender<JournalMessage>,
    /// The scheduler task.
    pub scheduler: mpsc::Sender<SchedulerMessage>,
    /// The router task.
    pub router: mpsc::Sender<RouterMessage>,
    /// The admission task.
    pub admission: mpsc::Sender<AdmissionMessage>,
    /// The peer task.
    pub peer: mpsc::Sender<PeerMessage>,
    /// Reads the VM list.
    pub directory: DirectoryAdapter,
    /// Address of the VM list.
    pub directory_address: String,
}

/// What the ledger knows of a team.
#[derive(Default)]
struct TeamWork {
    open_jobs: usize,
    open_tasks: u64,
    allotted: ResourceVector,
}

/// VMs in one zone.
#[derive(Default)]
struct ZoneVms {
    workers: u32,
    endpoints: u32,
    leaving: u32,
}

impl OperatorView {
    /// Runs a question on the ledger.
    pub async fn ledger<T: Send + 'static>(
        &self,
        read: impl FnOnce(&LedgerState) -> T + Send + 'static,
    ) -> Option<T> {
        let question = |reply: oneshot::Sender<T>| {
            JournalMessage::Query(Box::new(move |ledger| {
                // The asking connection may have ended.
                let _ = reply.send(read(ledger));
            }))
        };
        ask(&self.journal, question).await
    }

    /// Returns why callers with a key are refused; the inner value is nothing if they are admitted.
    pub async fn obstacle(&self) -> Option<Option<String>> {
        let refusal = ask(&self.admission, AdmissionMessage::Obstacle).await?;
        Some(refusal.map(|refusal| refusal.message))
    }

    /// Returns the version in force in this process and since when it is; the inner value is nothing without one.
    pub async fn in_force(&self) -> Option<Option<(BundleVersion, Instant)>> {
        ask(&self.admission, AdmissionMessage::InForce).await
    }

    /// Returns the waiting tasks of each team by reason, in the shards of this process.
    pub async fn waits(&self) -> Option<TeamWaits> {
        ask(&self.scheduler, SchedulerMessage::Waits).await
    }

    /// Returns the bundle in force as published.
    pub async fn bundle(&self) -> Option<Value> {
        self.ledger(|ledger| serde_json::to_value(&ledger.published).unwrap_or_default()).await
    }

    /// Returns all worker shards; those of this process with what it knows of their workers.
    pub async fn fleet(&self) -> Option<Value> {
        let shards = self.shards(|shard| !shard.starts_with("service:")).await?;
        let owned = ask(&self.scheduler, SchedulerMessage::Summarise).await?;
        let row = |(shard, owner): (ShardId, Option<ProcessId>)| {
            let summary = owned.iter().find(|summary| summary.shard == shard).map(shard_body);
            json!({ "shard": &*shard, "owner": owner.as_deref(), "summary": summary })
        };
        Some(json!({ "shards": shards.into_iter().map(row).collect::<Vec<Value>>() }))
    }

    /// Returns all teams: share, limit and open work everywhere, use and waiting tasks in the shards of this process.
    pub async fn teams(&self) -> Option<Value> {
        let waits = self.waits().await?;
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
                    "waiting_here": waits.get(&team.id).cloned().unwrap_or_default(),
                })
            };
            Some(json!({ "teams": bundle.teams.iter().map(row).collect::<Vec<Value>>() }))
        };
        Some(self.ledger(teams).await?.unwrap_or_default())
    }

    /// Returns all zones of the bundle and of the VM list.
    pub async fn zones(&self) -> Option<Value> {
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
                // A zone that the bundle does not name takes no work.
                "state": policy.map_or("not in the bundle".to_owned(), |policy| policy.state.to_string()),
                "workers": vms.workers, "endpoints": vms.endpoints, "leaving": vms.leaving,
            })
        };
        Some(json!({ "vm_list_fault": fault, "zones": vms.into_iter().map(row).collect::<Vec<Value>>() }))
    }

    /// Returns all service partitions; those of this process with their endpoints.
    pub async fn endpoints(&self) -> Option<Value> {
        let shards = self.shards(|shard| shard.starts_with("service:")).await?;
        let owned = ask(&self.router, RouterMessage::Summarise).await?;
        let row = |(shard, owner): (ShardId, Option<ProcessId>)| {
            let endpoints = owned.iter().find(|(held, _)| *held == shard).map(|(_, endpoints)| endpoints);
            json!({ "partition": &*shard, "owner": owner.as_deref(), "endpoints": endpoints })
        };
        Some(json!({ "partitions": shards.into_iter().map(row).collect::<Vec<Value>>() }))
    }

    /// Explains where a job is; null if no such job was accepted.
    pub async fn explain_job(&self, job: JobId) -> Option<Value> {
        let key = job.clone();
        let found = self.ledger(move |ledger| {
            let state = ledger.jobs.get(&key)?;
            let owner = ledger.claims.get(&state.shard).map(|claim| claim.process.clone());
            Some((state.clone(), owner))
        });
        let Some((state, owner)) = found.await? else { return Some(Value::Null) };
        let here = ask(&self.scheduler, |reply| SchedulerMessage::Explain(job.clone(), reply)).await?;
        let tasks = match (here, &owner) {
            (None, Some(owner)) if state.outcome.is_none() => {
                self.ask_owner(owner.clone(), job.clone()).await
            }
            (here, _) => serde_json::to_value(here).unwrap_or_default(),
        };
        Some(json!({
            "job": &*job, "state": job_state(&state), "shard": &*state.shard, "owner": owner.as_deref(),
            "outcome": state.outcome, "spec": state.spec, "tasks": tasks,
        }))
    }

    /// Returns the explanation of another process; null if it does not answer in time.
    async fn ask_owner(&self, owner: ProcessId, job: JobId) -> Value {
        let question = |reply| PeerMessage::Explain(ForwardedExplain { owner, job, reply });
        let explanation = ask(&self.peer, question).await;
        explanation.and_then(|text| serde_json::from_str(&text).ok()).unwrap_or_default()
    }

    /// Explains the stage of a request; null if neither the ledger nor this process knows it.
    pub async fn explain_request(&self, request: RequestId) -> Option<Value> {
        let key = request.clone();
        let announced = self.ledger(move |ledger| ledger.intents.digest(&key).is_some()).await?;
        let stage = ask(&self.router, |reply| RouterMessage::Explain(request.clone(), reply)).await?;
        if stage.is_none() && !announced {
            return Some(Value::Null);
        }
        Some(json!({ "request": &*request, "announced": announced, "stage": stage }))
    }

    /// Returns the shards of the bundle that `select` accepts, in order, with their owners.
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

async fn ask<M, T>(sender: &mpsc::Sender<M>, question: impl FnOnce(oneshot::Sender<T>) -> M) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    // A task that has ended drops the question, and with it the sender of the answer.
    let _ = sender.send(question(reply)).await;
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

fn shard_body(summary: &ShardSummary) -> Value {
    let by_team = |parts: &[(TeamId, ResourceVector)]| -> BTreeMap<String, ResourceVector> {
        parts.iter().map(|(team, amount)| (team.to_string(), *amount)).collect()
    };
    json!({
        "workers": summary.workers, "workers_heard": summary.workers_heard, "waiting": summary.waiting,
        "capacity": summary.capacity, "used": summary.used, "used_by_team": by_team(&summary.used_by_team),
        "allotments": by_team(&summary.allotments),
    })
}

fn job_state(state: &JobState) -> &'static str {
    match &state.outcome {
        Some(outcome) => outcome.label(),
        None if state.cancelled => "being cancelled",
        None => "open",
    }
}

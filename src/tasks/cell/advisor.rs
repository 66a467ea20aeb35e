//! Asks the placement advisor for the owner, spread over the processes that offer to ask it.
//!
//! The advisor serves the calls of one VM one after another, so each process asks one question at a time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::kernel::cell::{CellEvent, PermitRule, ProxyNumber, StepKey};
use crate::prelude::*;
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::owner::OwnerMessage;
use crate::tasks::cell::ports::AdvisorPort;

/// Time beyond the expected one after which a question counts as failed.
const SLACK: Duration = Duration::from_millis(1_200);
/// Time between checks for questions that were not answered in time.
const CHECK: Duration = Duration::from_millis(200);

/// Number of a question, unique within the task.
pub type QuestionNumber = u64;

/// A question to the advisor.
#[derive(Clone, Debug)]
pub struct PermitQuestion {
    /// The step.
    pub step: StepKey,
    /// What it costs.
    pub rule: PermitRule,
    /// Its place among questions, lower first.
    pub priority: u32,
    /// The workers.
    pub workers: Vec<WorkerId>,
}

/// What the advisor said, or why it did not.
pub type PermitResult = Result<Vec<(WorkerId, PermitTicket)>, String>;

/// What the task is told.
#[derive(Debug)]
pub enum AdvisorMessage {
    /// This process owns the cell; its owner is told how many processes ask.
    OwnerStarted(mpsc::Sender<OwnerMessage>),
    /// Ask a question and tell the owner what came of it.
    Ask(PermitQuestion, mpsc::Sender<OwnerMessage>),
    /// Another process offers to ask questions.
    Join(ProxyNumber, mpsc::Sender<(QuestionNumber, StepKey, Vec<WorkerId>)>),
    /// It no longer does.
    Leave(ProxyNumber),
    /// A question was answered.
    Answered(QuestionNumber, PermitResult),
}

/// A question that waits or was asked.
struct OpenQuestion {
    question: PermitQuestion,
    owner: mpsc::Sender<OwnerMessage>,
    arrived: Instant,
    proxy: Option<ProxyNumber>,
    due: Option<Instant>,
}

/// Where questions are asked.
struct AdvisorProxy {
    output: mpsc::Sender<(QuestionNumber, StepKey, Vec<WorkerId>)>,
    busy: Option<QuestionNumber>,
}

/// State of the task.
pub struct AdvisorTask {
    port: Option<AdvisorPort>,
    inbox: mpsc::Sender<AdvisorMessage>,
    proxies: FastMap<ProxyNumber, AdvisorProxy>,
    open: FastMap<QuestionNumber, OpenQuestion>,
    waiting: BinaryHeap<Reverse<(u32, QuestionNumber)>>,
    next: QuestionNumber,
    owner: Option<mpsc::Sender<OwnerMessage>>,
    metrics: CellMetrics,
}

impl AdvisorTask {
    /// Returns the task of a process that reaches the advisor by the port.
    #[must_use]
    pub fn new(port: Option<AdvisorPort>, inbox: mpsc::Sender<AdvisorMessage>, metrics: CellMetrics) -> Self {
        Self {
            port,
            inbox,
            proxies: FastMap::default(),
            open: FastMap::default(),
            waiting: BinaryHeap::new(),
            next: 0,
            owner: None,
            metrics,
        }
    }

    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut messages: mpsc::Receiver<AdvisorMessage>, token: CancellationToken) {
        if let Some(port) = self.port.clone() {
            // This process is the first proxy.
            let (output, questions) = mpsc::channel(1);
            self.proxies.insert(0, AdvisorProxy { output, busy: None });
            actix_rt::spawn(ask_advisor(port, questions, self.inbox.clone(), token.clone()));
        }
        let mut check = tokio::time::interval(CHECK);
        check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                Some(message) = messages.recv() => self.handle(message).await,
                _ = check.tick() => self.give_up_late().await,
            }
            self.dispatch();
        }
    }

    async fn handle(&mut self, message: AdvisorMessage) {
        match message {
            AdvisorMessage::OwnerStarted(owner) => {
                self.owner = Some(owner);
                self.tell_proxies().await;
            }
            AdvisorMessage::Ask(question, owner) => {
                self.next += 1;
                self.waiting.push(Reverse((question.priority, self.next)));
                let open = OpenQuestion { question, owner, arrived: Instant::now(), proxy: None, due: None };
                self.open.insert(self.next, open);
            }
            AdvisorMessage::Join(proxy, output) => {
                self.proxies.insert(proxy, AdvisorProxy { output, busy: None });
                self.tell_proxies().await;
            }
            AdvisorMessage::Leave(proxy) => {
                let lost = self.proxies.remove(&proxy).and_then(|proxy| proxy.busy);
                if let Some(number) = lost {
                    self.ask_again(number);
                }
                self.tell_proxies().await;
            }
            AdvisorMessage::Answered(number, result) => self.finish(number, result).await,
        }
    }

    async fn tell_proxies(&mut self) {
        let Some(owner) = &self.owner else { return };
        let event = CellEvent::ProxiesChanged(self.proxies.len());
        if owner.send(OwnerMessage::Event(event)).await.is_err() {
            self.owner = None;
        }
    }

    fn ask_again(&mut self, number: QuestionNumber) {
        if let Some(open) = self.open.get_mut(&number) {
            (open.proxy, open.due) = (None, None);
            self.waiting.push(Reverse((open.question.priority, number)));
        }
    }

    /// Gives waiting questions to processes that ask none.
    fn dispatch(&mut self) {
        for (id, proxy) in &mut self.proxies {
            if proxy.busy.is_some() {
                continue;
            }
            while let Some(Reverse((_, number))) = self.waiting.pop() {
                let Some(open) = self.open.get_mut(&number) else { continue };
                let question = &open.question;
                let message = (number, question.step.clone(), question.workers.clone());
                if proxy.output.try_send(message).is_err() {
                    // The helper is about to leave.
                    self.waiting.push(Reverse((question.priority, number)));
                    break;
                }
                let count = u32::try_from(question.workers.len()).unwrap_or(u32::MAX);
                let expected = question.rule.decision + question.rule.per_worker * count;
                (open.proxy, open.due) = (Some(*id), Some(Instant::now() + expected + SLACK));
                proxy.busy = Some(number);
                break;
            }
        }
    }

    async fn finish(&mut self, number: QuestionNumber, result: PermitResult) {
        let Some(open) = self.open.remove(&number) else { return };
        if let Some(proxy) = open.proxy.and_then(|proxy| self.proxies.get_mut(&proxy)) {
            proxy.busy = None;
        }
        self.metrics.question_seconds.observe(open.arrived.elapsed().as_secs_f64());
        let label = if result.is_ok() { "answered" } else { "failed" };
        self.metrics.questions.with_label_values(&[label]).inc();
        let PermitQuestion { step, rule, workers, .. } = open.question;
        let event = match result {
            Ok(granted) => {
                log::info!(step:%, asked = workers.len(), granted = granted.len(),
                    took_ms = open.arrived.elapsed().as_millis(), waiting = self.waiting.len();
                    "advisor answered");
                CellEvent::PermitsGranted { step, asked: workers, granted, valid: rule.validity }
            }
            Err(reason) => {
                log::info!(step:%, reason = &*reason; "advisor gave no answer");
                CellEvent::PermitsFailed(step)
            }
        };
        if open.owner.send(OwnerMessage::Event(event)).await.is_err() {
            log::debug!("term is over, answer of the advisor dropped");
        }
    }

    async fn give_up_late(&mut self) {
        let now = Instant::now();
        let late = self.open.iter().filter(|(_, open)| open.due.is_some_and(|due| now >= due));
        let late: Vec<QuestionNumber> = late.map(|(number, _)| *number).collect();
        for number in late {
            self.finish(number, Err("no answer in time".to_owned())).await;
        }
    }
}

/// Asks the advisor of this process one question after another.
pub async fn ask_advisor(
    port: AdvisorPort,
    mut questions: mpsc::Receiver<(QuestionNumber, StepKey, Vec<WorkerId>)>,
    output: mpsc::Sender<AdvisorMessage>,
    token: CancellationToken,
) {
    while let Some((number, step, workers)) = questions.recv().await {
        let result = tokio::select! {
            () = token.cancelled() => return,
            result = port(step, workers) => result,
        };
        if output.send(AdvisorMessage::Answered(number, result)).await.is_err() {
            return;
        }
    }
}

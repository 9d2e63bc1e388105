//! Sends planned arrivals from several threads and gathers what came of them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use awc::Client;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;
use uuid::Uuid;

use super::client::build_client;
use super::completion::{CompletionCall, call_entry};
use super::engines::{check_runs, compare_totals, read_totals};
use super::entries::EntryPool;
use super::error::LoadError;
use super::exchange::{CallEnd, CallOutcome};
use super::mix::LoadMix;
use super::options::MixOptions;
use super::recorder::{ClassRecord, ServiceRecord};
use super::report::{ClassReport, LoadReport, RunSpans, ServiceReport};
use super::schedule::{Arrival, ArrivalKind, CompletionPlan, build_prompt, plan_arrivals};
use super::service::{ServiceCall, call_service};

/// How long the threads get to start before the first arrival.
const START_WAIT: Duration = Duration::from_millis(500);

/// What one thread recorded.
#[derive(Clone, Debug)]
struct RunRecord {
    classes: Vec<ClassRecord>,
    services: Vec<ServiceRecord>,
}

/// What one thread sends and how.
struct ThreadPlan {
    mix: Arc<LoadMix>,
    options: MixOptions,
    arrivals: Vec<Arrival>,
    start: Instant,
    seed: u64,
}

/// What the tasks of one thread share.
struct ThreadContext {
    mix: Arc<LoadMix>,
    client: Client,
    pool: EntryPool,
    random: RefCell<Pcg64Mcg>,
    record: RefCell<RunRecord>,
    start: Instant,
}

/// Runs a mix and prints its measures.
pub fn run(options: &MixOptions) -> Result<(), LoadError> {
    let mix = LoadMix::from_options(options)?;
    let report = run_mix(options, mix)?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(())
}

/// Runs a mix.
pub fn run_mix(options: &MixOptions, mix: LoadMix) -> Result<LoadReport, LoadError> {
    if options.entry.is_empty() && options.entries_from.is_none() {
        return Err(LoadError::NoEntries);
    }
    let system = actix_rt::System::new();
    let client = system.block_on(async { build_client() });
    let before = system.block_on(read_totals(&client, &options.engine))?;
    let mix = Arc::new(mix);
    let record = run_threads(options, &mix)?;
    let after = system.block_on(read_totals(&client, &options.engine))?;
    let keys = join_keys(&record, |service| &service.keys);
    let not_run = join_keys(&record, |service| &service.not_run_keys);
    let check = check_runs(&client, &options.service, &keys, &not_run);
    let check = system.block_on(check)?;
    let mut report = build_report(options, &mix, &record);
    report.prefill = (!options.engine.is_empty()).then(|| compare_totals(&before, &after));
    report.runs = (!options.service.is_empty()).then_some(check);
    Ok(report)
}

fn run_threads(options: &MixOptions, mix: &Arc<LoadMix>) -> Result<RunRecord, LoadError> {
    let length = Duration::from_secs_f64(options.seconds);
    let arrivals = plan_arrivals(mix, options.seed, length);
    let start = Instant::now() + START_WAIT;
    let count = options.threads.max(1);
    let threads: Vec<_> = (0..count)
        .map(|number| {
            let plan = ThreadPlan {
                mix: Arc::clone(mix),
                options: options.clone(),
                arrivals: arrivals
                    .iter()
                    .skip(number)
                    .step_by(count)
                    .cloned()
                    .collect(),
                start,
                seed: options.seed.wrapping_add(number as u64),
            };
            thread::spawn(move || actix_rt::System::new().block_on(run_thread(plan)))
        })
        .collect();
    let mut record = RunRecord::new(mix);
    for thread in threads {
        record.merge(&thread.join().map_err(|_| LoadError::ThreadEnded)?);
    }
    Ok(record)
}

async fn run_thread(plan: ThreadPlan) -> RunRecord {
    let context = Rc::new(ThreadContext {
        record: RefCell::new(RunRecord::new(&plan.mix)),
        mix: plan.mix,
        client: build_client(),
        pool: EntryPool::fixed(&plan.options.entry),
        random: RefCell::new(Pcg64Mcg::seed_from_u64(plan.seed)),
        start: plan.start,
    });
    if let Some(from) = plan.options.entries_from {
        // A first list that does not come is asked for again.
        let _ = context.refresh_entries(from).await;
        let context = Rc::clone(&context);
        actix_rt::spawn(async move { context.keep_entries(from).await });
    }
    let mut tasks = JoinSet::new();
    for arrival in plan.arrivals {
        tokio::time::sleep_until((plan.start + arrival.at).into()).await;
        let context = Rc::clone(&context);
        tasks.spawn_local(async move { context.send(arrival).await });
    }
    let drain = Duration::from_secs_f64(plan.options.drain_seconds);
    let all = async { while tasks.join_next().await.is_some() {} };
    // Calls that go on for longer are reported as unfinished.
    let _ = tokio::time::timeout(drain, all).await;
    let record = context.record.borrow();
    record.clone()
}

impl ThreadContext {
    async fn refresh_entries(&self, from: SocketAddr) -> Result<Duration, LoadError> {
        let token = self.mix.any_token();
        self.pool.refresh(&self.client, from, token).await
    }

    async fn keep_entries(&self, from: SocketAddr) {
        let token = self.mix.any_token();
        self.pool.keep_fresh(&self.client, from, token).await;
    }

    async fn send(&self, arrival: Arrival) {
        let start = self.start + arrival.at;
        let class = arrival.class;
        match arrival.kind {
            ArrivalKind::Completion(plan) => self.send_completion(class, &plan, start).await,
            ArrivalKind::Call(seed) => self.send_call(class, seed, start).await,
        }
    }

    async fn send_completion(&self, class: usize, plan: &CompletionPlan, start: Instant) {
        let described = &self.mix.classes[class];
        let at = start.saturating_duration_since(self.start);
        let in_flood = self.mix.floods_at(at.as_secs_f64());
        self.record.borrow_mut().classes[class].begin(in_flood);
        let prompt = build_prompt(described, plan);
        let call = CompletionCall {
            token: &described.token,
            model: &described.model,
            prompt: &prompt,
            output_tokens: plan.output_tokens,
            cancel_after: plan.cancel_after,
            start,
            counter: None,
        };
        let entry = self.pool.choose(&mut self.random.borrow_mut(), None);
        let outcome = match entry {
            Some(entry) => call_entry(&self.client, entry, &call).await,
            None => CallOutcome::without_tokens(CallEnd::Unreachable),
        };
        self.record.borrow_mut().classes[class].add(described, &outcome, in_flood);
    }

    async fn send_call(&self, class: usize, seed: u64, start: Instant) {
        let service = &self.mix.services[class];
        self.record.borrow_mut().services[class].sent += 1;
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let call = ServiceCall {
            service,
            seed,
            start,
        };
        let outcome = call_service(&self.client, &self.pool, &mut random, call).await;
        self.record.borrow_mut().services[class].add(service, &outcome);
    }
}

impl RunRecord {
    fn new(mix: &LoadMix) -> Self {
        Self {
            classes: vec![ClassRecord::default(); mix.classes.len()],
            services: vec![ServiceRecord::default(); mix.services.len()],
        }
    }

    fn merge(&mut self, other: &Self) {
        for (class, other) in self.classes.iter_mut().zip(&other.classes) {
            class.merge(other);
        }
        for (service, other) in self.services.iter_mut().zip(&other.services) {
            service.merge(other);
        }
    }
}

fn join_keys(record: &RunRecord, keys: impl Fn(&ServiceRecord) -> &Vec<Uuid>) -> Vec<Uuid> {
    let keys = record.services.iter().flat_map(keys);
    keys.copied().collect()
}

fn build_report(options: &MixOptions, mix: &LoadMix, record: &RunRecord) -> LoadReport {
    let spans = RunSpans {
        whole_s: options.seconds,
        flood_s: mix.flood_seconds(options.seconds),
    };
    let classes = mix.classes.iter().zip(&record.classes);
    let services = mix.services.iter().zip(&record.services);
    LoadReport {
        seconds: options.seconds,
        seed: options.seed,
        classes: classes
            .map(|(class, record)| ClassReport::new(class, record, spans))
            .collect(),
        services: services
            .map(|(service, record)| ServiceReport::new(service, record))
            .collect(),
        prefill: None,
        runs: None,
    }
}

//! Routing, server selection, admission and retries of forwarded HTTP requests.
//!
//! The decisions are based on the route table, the servers that the registry lists, and the load
//! that this entry and its peers place on them. The module does no I/O and reads no clock:
//! addresses and the current time are passed in as arguments.

mod admission;
mod capacity;
mod currency;
mod deadlines;
mod directory;
mod freshness;
mod intake;
mod isolation;
mod issues;
mod lengths;
mod limits;
mod loads;
mod memory;
mod origins;
mod outage;
mod placement;
mod plain_queue;
mod quotas;
mod ranked_admission;
mod ranking;
mod ranks;
mod recent_maximum;
mod retries;
mod returns;
mod routes;
mod shares;
mod shutdown;
mod stages;
mod workspaces;

pub use admission::{
    AdmissionDecision, AdmissionEffect, AdmissionQueue, AdmissionSettings, FleetBacklog,
    StartClass, StreamDemand, TicketId, WaitingCounts, WaitingStream,
};
pub use capacity::{CapacityChange, CapacityDigest, CapacitySettings, CapacityTracker, WorkSample};
pub use currency::{
    AnswerUse, BootTime, CurrencyAnswer, CurrencyChange, CurrencyProof, CurrencySettings,
    CurrencyTracker, ProofSource, is_proof_reader,
};
pub use deadlines::DeadlineTracker;
pub use directory::{DirectorySettings, ListedServer, ServerDirectory, ServerStage};
pub use freshness::{
    FreshnessSettings, ReadMode, ReadPlan, RegistryVersion, RegistryView, ViewVersions,
    is_exact_reader,
};
pub use intake::{BodyOutcome, IntakeSettings, IntakeTracker, SentBody};
pub use isolation::{
    IsolationChange, IsolationSettings, IsolationTracker, ServingEntry, serving_entries,
};
pub use issues::{IssueReport, IssueTable, ServerIssue};
pub use lengths::LengthEstimate;
pub use limits::{LimitChange, LimitDigest, LimitReport, LimitSettings, LimitTracker};
pub use loads::{LoadDigest, LoadSettings, LoadTracker, ServerLoad, ServerWork, StreamKey};
pub use memory::{StreamShape, projected_peak};
pub use origins::{
    OriginDigest, OriginSettings, OriginTracker, RecordUpdate, ResumeTarget, SoftwareNeed,
    SoftwareRecord, StreamId,
};
pub use outage::{OutageSettings, OutageTracker, ProbeRole, Recovery};
pub use placement::{
    DecodeDemand, EngineSubset, FreeServer, PlacementView, choose_decode, choose_free_server,
    choose_prefill, choose_server, decode_wait, limit_wait, service_capacity,
};
pub use plain_queue::{
    HeldRequest, PlainDecision, PlainEffect, PlainPlacement, PlainQueue, PlainSettings,
    ServiceCapacity,
};
pub use quotas::{
    QuotaDecision, QuotaDigest, QuotaRefusal, QuotaReport, QuotaSettings, QuotaTracker,
};
pub use ranks::{CallerOrder, RANK_COUNT, RankCounts, RankWaiting};
pub use recent_maximum::RecentMaximum;
pub use retries::{AttemptFailure, AttemptHistory, FinalAnswer, NextStep, RetryBudget, next_step};
pub(crate) use routes::host_name;
pub use routes::{
    ClientLimits, EngineSpec, RouteKind, RouteRule, RouteTable, RouteTarget, ServiceSpec,
};
pub use shares::{RecentUsage, ShareScale};
pub use shutdown::{RequestSpan, ShutdownPhase, ShutdownPlan};
pub use stages::{StageChange, StageEstimate, StageNeed, next_stage_change};
pub use workspaces::{
    CostUnit, KeyDigest, KeyError, QuotaSpec, RequestCaller, WorkspaceSpec, WorkspaceTable,
};

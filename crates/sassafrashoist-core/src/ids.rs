//! Ids and units that all packages share.

use std::time::Duration;

/// Names a VM of the system.
pub type VmId = String;
/// Names a data centre.
pub type DataCentreId = String;
/// Names a region, which holds one or more data centres.
pub type RegionId = String;
/// Names a client account.
pub type ClientAccountId = String;
/// Names a prepaid budget.
pub type BudgetId = String;
/// Names a route of the bundle.
pub type RouteId = String;
/// Names a pool of backend servers.
pub type PoolId = String;
/// Names a backend server.
pub type BackendServerId = String;
/// Names a model.
pub type ModelId = String;
/// Names an operator.
pub type OperatorId = String;
/// Names a top-up of a budget; a repeated top-up with one id counts once.
pub type TopUpId = String;
/// The idempotency key of a request, or the key that a router made for it.
pub type RequestKey = String;
/// Names one request as a router received it.
pub type RequestId = String;
/// Counts the attempts of one request from 1.
pub type AttemptNumber = u32;
/// The start time of a process in milliseconds since the Unix epoch; a restart makes it larger.
pub type Incarnation = u64;
/// Grows with each change of a lease or of a view.
pub type Epoch = u64;
/// The place of a record in a log stream.
pub type LogOffset = u64;
/// The version of a bundle, from 1.
pub type BundleVersion = u64;
/// A number of tokens.
pub type Tokens = u64;
/// Time since the Unix epoch, as the caller of a decision read it.
pub type Timestamp = Duration;

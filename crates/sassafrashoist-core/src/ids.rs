//! Id and unit types that all crates share.

use std::time::Duration;

/// Id of a VM of the fleet.
pub type VmId = String;
/// Id of a data centre.
pub type DataCentreId = String;
/// Id of a region, which holds one or more data centres.
pub type RegionId = String;
/// Id of a client account.
pub type ClientAccountId = String;
/// Id of a prepaid budget.
pub type BudgetId = String;
/// Id of a route of the bundle.
pub type RouteId = String;
/// Id of a pool of backend servers.
pub type PoolId = String;
/// Id of a backend server.
pub type BackendServerId = String;
/// Id of a model.
pub type ModelId = String;
/// Id of an operator.
pub type OperatorId = String;
/// Id of a top-up of a budget; a top-up that is repeated with the same id counts once.
pub type TopUpId = String;
/// The idempotency key of a request, or the key that a router generated for it.
pub type RequestKey = String;
/// Id of one request as a router received it.
pub type RequestId = String;
/// The number of an attempt of one request, from 1.
pub type AttemptNumber = u32;
/// The start time of a process in milliseconds since the Unix epoch; a restart makes it larger.
pub type Incarnation = u64;
/// A number that increases with each change of a lease or of a view.
pub type Epoch = u64;
/// The offset of a record in a log stream.
pub type LogOffset = u64;
/// The version of a bundle, from 1.
pub type BundleVersion = u64;
/// A number of tokens.
pub type Tokens = u64;
/// Time since the Unix epoch, read by the code that calls a decision.
pub type Timestamp = Duration;

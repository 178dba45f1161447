//! A log service, servers and gateways that are connected.

use std::thread;
use std::time::Duration;

use crate::caller::{Answer, Request, send};
use crate::gateway::Gateway;
use crate::harness::Case;
use crate::log_service::{CONFIG_TOPIC, LogService};
use crate::server::Server;

/// The zone of all machines and servers.
pub const ZONE: &str = "plateau";
/// The host of all routes.
pub const HOST: &str = "auction.example";
/// The key of the only tenant.
pub const KEY: &str = "k5d0c2f7a9b1";
/// The name of the only tenant.
pub const TENANT: &str = "workshop";

/// A route in the configuration.
#[derive(Debug, Clone)]
pub struct Route {
    /// The name, which is also the prefix of the path.
    pub name: &'static str,
    /// The kind of its requests.
    pub kind: &'static str,
    /// The service.
    pub pool: &'static str,
    /// The longest time of a request.
    pub timeout_ms: u64,
    /// The time within which an answer earns its full credit.
    pub target_ms: u64,
    /// The most servers that run one request.
    pub max_attempts: u32,
    /// Whether a stream may be resumed.
    pub may_resume: bool,
}

/// A log service, servers and gateways that are connected.
pub struct Fleet {
    /// The log service.
    pub log: LogService,
    /// The servers.
    pub servers: Vec<Server>,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    config: String,
}

impl Fleet {
    /// Starts the gateways, and waits until they are ready.
    pub fn start(
        case: &Case,
        gateway_count: usize,
        servers: Vec<Server>,
        routes: &[Route],
        reserved_tokens: u64,
    ) -> Result<Self, String> {
        let log = LogService::default();
        let config = config_text(routes, reserved_tokens);
        log.write(CONFIG_TOPIC, "config", &config);
        for server in &servers {
            server.write_entry(&log, ZONE, "ready", 1);
        }
        let mut fleet = Self { log, servers, gateways: Vec::new(), config };
        for index in 0..gateway_count {
            let seen = fleet.servers.iter().map(|server| server.replacement(index)).collect();
            let address = fleet.log.listen(seen)?;
            fleet.gateways.push(Gateway::start(&case.folder, index as u8, ZONE, address)?);
        }
        // Traffic starts 10 s after the machines on the sheets; a few seconds are enough here.
        thread::sleep(Duration::from_secs(3));
        case.record.add(format!("{gateway_count} gateways ready"));
        Ok(fleet)
    }

    /// Writes the configuration of the start again.
    pub fn write_config_again(&self) {
        self.log.write(CONFIG_TOPIC, "config", &self.config);
    }

    /// Sends a request to a gateway on a new connection.
    pub fn send(&self, gateway: usize, request: &Request) -> Answer {
        send(self.gateways[gateway].caller_address, request)
    }
}

/// Builds a request of the tenant on a route.
pub fn request(
    method: &'static str,
    route: &str,
    id: &str,
    deadline: Duration,
    tokens: Option<(u64, u64)>,
) -> Request {
    let mut headers = vec![
        ("Host", HOST.to_owned()),
        ("Request-Id", id.to_owned()),
        ("Deadline-Ms", deadline.as_millis().to_string()),
        ("Authorization", format!("Token {KEY}")),
    ];
    if let Some((prompt, output)) = tokens {
        headers.push(("Model", "m".to_owned()));
        headers.push(("Token-Usage", format!("{prompt},{output}")));
        headers.push(("Prefix-Hash", format!("aa:{},{id}:{}", prompt / 2, prompt - prompt / 2)));
    }
    let body = if method == "GET" { Vec::new() } else { b"lot 7".to_vec() };
    Request {
        method,
        target: format!("/{route}/1"),
        headers,
        body,
        patience: deadline,
        leaves_after: None,
    }
}

fn config_text(routes: &[Route], reserved_tokens: u64) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"{0}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"/{0}/\",\
                 \"routeType\":\"{1}\",\"timeoutMs\":{2},\"targetLatencyMs\":{3},\
                 \"priorityClass\":1,\"backend\":\"{4}\",\"maxAttempts\":{5},\"public\":false,\
                 \"sessionAffinity\":false,\"streamResume\":{6}}}",
                route.name,
                route.kind,
                route.timeout_ms,
                route.target_ms,
                route.pool,
                route.max_attempts,
                route.may_resume
            )
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{}],\"backends\":[{{\"name\":\"llm\",\
         \"runtime\":{{\"batchSlots\":64,\"kvCapacity\":475241,\"interval\":5}}}},\
         {{\"name\":\"desk\"}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"{TENANT}\",\
         \"apiKeys\":[\"{KEY}\"],\"reserved\":{reserved_tokens}}}]}}",
        routes.join(",")
    )
}

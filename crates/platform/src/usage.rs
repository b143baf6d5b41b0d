//! Usage reports of the platform's workers, which arrive with a lag.

use async_trait::async_trait;

use crate::api::UsageBody;
use crate::http::{HttpClient, HttpError};

/// The source of usage reports.
#[async_trait]
pub trait UsageSource: Send + Sync {
    /// Reads the reports that follow the given sequence number.
    async fn after(&self, sequence: u64) -> Result<UsageBody, HttpError>;
}

/// Usage reports behind HTTP.
#[derive(Debug, Clone)]
pub struct HttpUsage {
    client: HttpClient,
}

impl HttpUsage {
    /// Makes an adapter over a client.
    #[must_use]
    pub const fn new(client: HttpClient) -> Self {
        Self { client }
    }
}

#[async_trait]
impl UsageSource for HttpUsage {
    async fn after(&self, sequence: u64) -> Result<UsageBody, HttpError> {
        self.client
            .get(&format!("/v1/usage?after={sequence}"))
            .await
    }
}

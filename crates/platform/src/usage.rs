//! Client of the usage reports of the platform's workers, which arrive with a lag.

use async_trait::async_trait;

use crate::api::UsageBody;
use crate::http::{HttpClient, HttpError};

/// A source of usage reports.
#[async_trait]
pub trait UsageSource: Send + Sync {
    /// Reads the samples whose sequence number is greater than `sequence`.
    async fn after(&self, sequence: u64) -> Result<UsageBody, HttpError>;
}

/// A client of the usage reports over HTTP.
#[derive(Debug, Clone)]
pub struct HttpUsage {
    client: HttpClient,
}

impl HttpUsage {
    /// Creates a client of the usage reports.
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

//! Client of the platform's object store.

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Method;

use crate::http::{HttpClient, HttpError};

/// The platform's object store.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    async fn get(&self, key: &str) -> Result<Bytes, HttpError>;

    /// Writes an object.
    async fn put(&self, key: &str, object: Bytes) -> Result<(), HttpError>;
}

/// A client of the object store over HTTP.
#[derive(Debug, Clone)]
pub struct HttpObjects {
    client: HttpClient,
}

impl HttpObjects {
    /// Creates a client of the object store.
    #[must_use]
    pub const fn new(client: HttpClient) -> Self {
        Self { client }
    }
}

#[async_trait]
impl ObjectStore for HttpObjects {
    async fn get(&self, key: &str) -> Result<Bytes, HttpError> {
        self.client
            .bytes(Method::GET, &format!("/v1/objects/{key}"), Bytes::new())
            .await
    }

    async fn put(&self, key: &str, object: Bytes) -> Result<(), HttpError> {
        self.client
            .bytes(Method::PUT, &format!("/v1/objects/{key}"), object)
            .await?;
        Ok(())
    }
}

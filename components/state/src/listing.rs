//! The platform's list of endpoints, as one VM reads it for the whole fleet.

use crate::config::Endpoint;
use crate::id::EndpointId;
use crate::view::View;
use serde::{Deserialize, Serialize};

/// One endpoint of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listed {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// When it started, in Unix milliseconds, where the list tells.
    pub born: Option<u64>,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Time for which it stays cold, in milliseconds from the moment at which this is told.
    pub cold_ms: u32,
}

impl Listed {
    /// Key of this start of the endpoint.
    ///
    /// One that starts again under its name has forgotten everything. Known by its
    /// name alone, it would be sent prompts for the parts that it had kept, and the
    /// failures of its earlier life would count against it.
    pub fn id(&self) -> EndpointId {
        match self.born {
            None => EndpointId::of(&self.endpoint.name),
            Some(born) => EndpointId::of_start(&self.endpoint.name, born),
        }
    }
}

/// All endpoints at one reading.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listing {
    /// A number drawn for this content.
    pub id: u64,
    /// The endpoints.
    pub endpoints: Vec<Listed>,
}

impl View {
    /// This view with the endpoints of a listing besides those of its
    /// configuration.
    pub fn with_listing(&self, listing: &Listing) -> View {
        let mut view = self.clone();
        for listed in &listing.endpoints {
            let id = listed.id();
            let known = view.config.endpoints.contains_key(&id);
            if known || view.config.service(&listed.endpoint.service).is_none() {
                continue;
            }
            view.config.endpoints.insert(id, listed.endpoint.clone());
            if listed.leaving {
                view.leaving.insert(id);
            }
        }
        view
    }
}

//! Settings that choose between the basic and the cost-aware policies of the scheduler.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

/// Ratio of the largest to the smallest guarantee from which teams count as uneven, in percent.
const UNEVEN_GUARANTEES_PERCENT: u64 = 400;

/// Which of its two variants a policy uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PolicyChoice {
    /// The basic variant.
    #[default]
    Basic,
    /// The cost-aware variant at a site whose teams or workers are uneven, the basic one
    /// elsewhere.
    Uneven,
    /// The cost-aware variant.
    CostAware,
}

impl PolicyChoice {
    /// Names of the choices in settings.
    pub const NAMES: [&str; 3] = ["basic", "uneven", "cost-aware"];

    /// Returns whether the cost-aware variant is in force at a site.
    #[must_use]
    pub const fn is_cost_aware(self, site: SiteProfile) -> bool {
        match self {
            Self::Basic => false,
            Self::Uneven => site.has_uneven_teams || site.has_uneven_workers,
            Self::CostAware => true,
        }
    }
}

impl Display for PolicyChoice {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let [basic, uneven, cost_aware] = Self::NAMES;
        f.write_str(match self {
            Self::Basic => basic,
            Self::Uneven => uneven,
            Self::CostAware => cost_aware,
        })
    }
}

/// A policy name that is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyChoiceError {
    found: String,
}

impl Display for PolicyChoiceError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let names = PolicyChoice::NAMES.join(", ");
        write!(
            f,
            "policy {:?} does not exist, expected {names}",
            self.found
        )
    }
}

impl std::error::Error for PolicyChoiceError {}

impl FromStr for PolicyChoice {
    type Err = PolicyChoiceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let all = [Self::Basic, Self::Uneven, Self::CostAware];
        let mut named = all.into_iter().zip(Self::NAMES);
        let found = named.find(|(_, name)| *name == text);
        found.map(|(choice, _)| choice).ok_or(PolicyChoiceError {
            found: text.to_owned(),
        })
    }
}

/// What a site is like, as far as its configuration and its workers show it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SiteProfile {
    /// Whether a few teams hold most of the guarantees.
    pub has_uneven_teams: bool,
    /// Whether some workers are far slower than most.
    pub has_uneven_workers: bool,
}

/// The choice for each policy of the scheduler.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PolicySettings {
    /// Order in which waiting jobs get resources.
    pub order: PolicyChoice,
    /// Which jobs are turned away.
    pub admission: PolicyChoice,
    /// Which runs are stopped for urgent jobs.
    pub stops: PolicyChoice,
    /// How the speeds of workers count.
    pub speeds: PolicyChoice,
}

/// Returns the smallest and the largest of the guarantees that are not zero.
#[must_use]
pub(crate) fn guarantee_range(guarantees: impl Iterator<Item = u32>) -> Option<(u32, u32)> {
    let guarantees = guarantees.filter(|guarantee| *guarantee > 0);
    guarantees.fold(None, |range, guarantee| {
        let (least, most) = range.unwrap_or((guarantee, guarantee));
        Some((least.min(guarantee), most.max(guarantee)))
    })
}

/// Returns whether a few teams hold most of the guarantees.
#[must_use]
pub(crate) fn are_uneven(guarantees: impl Iterator<Item = u32>) -> bool {
    guarantee_range(guarantees).is_some_and(|(least, most)| {
        u64::from(most) * 100 >= u64::from(least) * UNEVEN_GUARANTEES_PERCENT
    })
}

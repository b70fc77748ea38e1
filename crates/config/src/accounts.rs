//! Client accounts: their keys, priorities and quotas.

use std::fmt;

use subtle::ConstantTimeEq;
use types::AccountId;

use crate::deployment::Priority;

/// Unit in which a quota counts requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt tokens and its maximum number of output tokens.
    Tokens {
        /// Tokens of a request that states none.
        plain: u32,
    },
}

impl QuotaUnit {
    /// Returns the units of a request that states `tokens`.
    #[must_use]
    pub fn cost(self, tokens: Option<u32>) -> u32 {
        match self {
            Self::Requests => 1,
            Self::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

/// Limit on the requests of an account over all entry hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Unit of the other fields.
    pub unit: QuotaUnit,
    /// Units per second.
    pub per_second: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
}

/// Hash of a key. Its digits are not shown, and compared in constant time.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// Client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name.
    pub id: AccountId,
    /// Hashes of its keys.
    pub keys: Vec<KeyHash>,
    /// Priority of its requests; that of the route if absent.
    pub priority: Option<Priority>,
    /// Quota, if it has one.
    pub quota: Option<Quota>,
}

/// Client accounts of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    /// Sorted by id.
    accounts: Vec<Account>,
    /// Hashes of all keys with the index of their account, sorted.
    keys: Vec<(KeyHash, usize)>,
}

impl Accounts {
    /// Creates the accounts of a configuration, in any order.
    #[must_use]
    pub fn new(mut accounts: Vec<Account>) -> Self {
        accounts.sort_by(|a, b| a.id.cmp(&b.id));
        let keys = accounts.iter().enumerate();
        let keys = keys.flat_map(|(at, account)| account.keys.iter().map(move |key| (*key, at)));
        let mut keys: Vec<_> = keys.collect();
        keys.sort_unstable();
        Self { accounts, keys }
    }

    /// Returns the account that has a key.
    ///
    /// The search ends at different times for different hashes, but a caller can't choose the hash of a key.
    #[must_use]
    pub fn with_key(&self, key: &str) -> Option<&Account> {
        let hash = KeyHash::of(key);
        let at = self.keys.partition_point(|(known, _)| *known < hash);
        let (known, account) = self.keys.get(at)?;
        bool::from(known.0.ct_eq(&hash.0)).then(|| &self.accounts[*account])
    }

    /// Returns the accounts, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter()
    }
}

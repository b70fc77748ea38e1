//! Client account on whose behalf a request comes.

use config::{Account, Route, RouteTable};
use http::HeaderMap;
use types::{AccountId, Code, PromptPart};

use crate::{auth::bearer, refusal::Refusal};

/// Who sent a request, as far as the configuration tells callers apart.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Identity {
    /// No accounts are configured.
    Unchecked,
    /// The route needs no key, and the request has none that is known.
    Anonymous,
    /// The request has a key of this account.
    Account(AccountId),
}

impl Identity {
    /// Returns the account, if any.
    #[must_use]
    pub fn account(&self) -> Option<&AccountId> {
        match self {
            Self::Unchecked | Self::Anonymous => None,
            Self::Account(id) => Some(id),
        }
    }

    /// Returns the name of the account, or an empty text.
    pub(crate) fn name(&self) -> &str {
        self.account().map_or("", AccountId::as_str)
    }

    /// Returns a hash that differs between accounts even if callers choose equal values.
    pub(crate) fn scoped(&self, value: u64) -> u64 {
        let Some(account) = self.account() else {
            return value;
        };
        let mut hasher = blake3::Hasher::new();
        hasher.update(&value.to_le_bytes());
        hasher.update(account.as_str().as_bytes());
        let mut head = [0; 8];
        head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(head)
    }

    /// Returns the parts of a prompt as parts of this account's prompts.
    pub(crate) fn scoped_parts(&self, parts: &[PromptPart]) -> Vec<PromptPart> {
        let scoped = parts.iter().map(|part| self.scoped(part.get()));
        scoped.map(PromptPart::new).collect()
    }

    /// Returns hashes of prefixes as prefixes of this account's prompts.
    pub(crate) fn scoped_prefixes(&self, prefixes: &[u64]) -> Vec<u64> {
        prefixes.iter().map(|prefix| self.scoped(*prefix)).collect()
    }
}

/// Finds the account of a request, if accounts are configured and the request has a known key.
///
/// # Errors
/// The refusal of a request without a known key, unless its route is anonymous.
pub(crate) fn find_account<'a>(
    table: &'a RouteTable,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<&'a Account>, Refusal> {
    let Some(accounts) = table.accounts() else {
        return Ok(None);
    };
    let account = bearer(headers).and_then(|key| accounts.with_key(key));
    if account.is_none() && !route.anonymous {
        return Err(Code::Unauthenticated.into());
    }
    Ok(account)
}

/// Returns the identity of a request with an account that was found, or none.
pub(crate) fn identity(table: &RouteTable, account: Option<&Account>) -> Identity {
    match account {
        Some(account) => Identity::Account(account.id.clone()),
        None if table.accounts().is_some() => Identity::Anonymous,
        None => Identity::Unchecked,
    }
}

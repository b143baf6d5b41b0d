//! Commands on the configuration: base file and overlays.

use std::collections::BTreeMap;
use std::path::PathBuf;

use cumindeck_api::{ConfigAccepted, ConfigBundle, ConfigChange, ErrorReason, path};
use cumindeck_config::{
    Bundle, Change, CheckedBundle, CheckedSite, EffectiveValue, SettingPath, SiteName,
};
use cumindeck_types::{ConfigVersion, IdempotencyKey};
use hyper::Method;
use serde_json::json;

use super::{Context, new_id};
use crate::args::{ConfigCommand, Files};
use crate::client::Call;
use crate::failure::Failure;
use crate::files;
use crate::report::{Report, or_dash};

/// Name that selects the base file in `config show --raw`.
const BASE: &str = "base";

/// Runs a command on the configuration.
pub async fn run(cx: &Context<'_>, command: &ConfigCommand) -> Result<Report, Failure> {
    match command {
        ConfigCommand::Check(files) => check(files),
        ConfigCommand::Apply {
            files,
            expected_version,
        } => apply(cx, files, *expected_version).await,
        ConfigCommand::Show { site, raw, files } => {
            let bundle = load_bundle(cx, files).await?;
            match (site, raw) {
                (Some(site), _) => effective(&check_bundle(bundle.into())?, site),
                (None, Some(name)) => raw_text(bundle, name),
                (None, None) => Ok(overview(&bundle)),
            }
        }
        ConfigCommand::Explain { key, site, files } => {
            let bundle = check_bundle(load_bundle(cx, files).await?.into())?;
            explain(&bundle, key, site.as_ref())
        }
        ConfigCommand::Diff { files, old } => {
            let new = check_bundle(files::bundle(&files.base, &files.overlays)?)?;
            let old = check_bundle(load_bundle(cx, old).await?.into())?;
            Ok(diff(&old.diff(&new)))
        }
    }
}

/// A bundle from files or the server; `version` and `change_id` are `None` for files.
struct LoadedBundle {
    version: Option<ConfigVersion>,
    change_id: Option<IdempotencyKey>,
    bundle: Bundle,
}

impl From<LoadedBundle> for Bundle {
    fn from(loaded: LoadedBundle) -> Self {
        loaded.bundle
    }
}

/// Reads a bundle from files, or the accepted bundle if no files are given.
async fn load_bundle(cx: &Context<'_>, files: &[PathBuf]) -> Result<LoadedBundle, Failure> {
    if let Some((base, overlays)) = files.split_first() {
        return Ok(LoadedBundle {
            version: None,
            change_id: None,
            bundle: files::bundle(base, overlays)?,
        });
    }
    let accepted: ConfigBundle = cx.client()?.json(Call::get(path::CONFIG)).await?;
    if accepted.version == ConfigVersion::default() {
        let message = "no configuration was accepted yet";
        let hint = "use `cumindeck config apply --expected-version 0 BASE OVERLAY...`";
        return Err(Failure::refused(ErrorReason::NotFound, message, hint));
    }
    let mut overlays = BTreeMap::new();
    for (site, text) in accepted.overlays {
        let name: SiteName = site.parse().map_err(|err| {
            let message = format!("the server's overlay {site:?} is not named after a site: {err}");
            Failure::refused(
                ErrorReason::Internal,
                message,
                "report this as a bug in the server",
            )
        })?;
        overlays.insert(name, text);
    }
    Ok(LoadedBundle {
        version: Some(accepted.version),
        change_id: accepted.change_id,
        bundle: Bundle::from_texts(accepted.base, overlays),
    })
}

fn check_bundle(bundle: Bundle) -> Result<CheckedBundle, Failure> {
    Ok(CheckedBundle::try_from(bundle)?)
}

fn check(files: &Files) -> Result<Report, Failure> {
    let bundle = files::bundle(&files.base, &files.overlays)?;
    if bundle.overlays.is_empty() {
        bundle.check_base()?;
        let text = format!(
            "{}: no fault in the base file alone; give the overlays to check them together",
            files.base.display()
        );
        return Ok(Report::text(text, &json!({ "sites": [] })));
    }
    let checked = check_bundle(bundle)?;
    let sites: Vec<_> = checked.sites().map(|(name, _)| name.to_string()).collect();
    let text = format!("no fault at {}", sites.join(", "));
    Ok(Report::text(text, &json!({ "sites": sites })))
}

async fn apply(
    cx: &Context<'_>,
    files: &Files,
    expected_version: ConfigVersion,
) -> Result<Report, Failure> {
    let checked = check_bundle(files::bundle(&files.base, &files.overlays)?)?;
    let change_id: IdempotencyKey = new_id().to_string().parse().map_err(|err| {
        Failure::usage(
            format!("can't create an id for the change: {err}"),
            "report this as a bug",
        )
    })?;
    let bundle = checked.bundle();
    let overlay = |(site, file): (&SiteName, &cumindeck_config::SourceFile)| {
        (site.to_string(), file.text.clone())
    };
    let change = ConfigChange {
        change_id: change_id.clone(),
        expected_version,
        base: bundle.base.text.clone(),
        overlays: bundle.overlays.iter().map(overlay).collect(),
    };
    let read_back = format!(
        "`cumindeck config show` shows change {change_id} if it did, unless another change \
         followed; `cumindeck config diff` with the same files shows what differs"
    );
    let call = Call::change(Method::PUT, path::CONFIG, read_back).json(&change);
    let accepted: ConfigAccepted = cx.client()?.json(call).await?;
    let text = format!(
        "version {} is accepted; in force within 5 s",
        accepted.version
    );
    Ok(Report::text(text, &accepted))
}

fn overview(loaded: &LoadedBundle) -> Report {
    let bundle = &loaded.bundle;
    let mut fields = vec![
        ("version", or_dash(loaded.version)),
        ("change", or_dash(loaded.change_id.as_ref())),
        ("base", format!("{} bytes", bundle.base.text.len())),
    ];
    for (site, file) in &bundle.overlays {
        fields.push(("overlay", format!("{site}, {} bytes", file.text.len())));
    }
    let sites: Vec<_> = bundle.overlays.keys().map(ToString::to_string).collect();
    let version = loaded.version.map(ConfigVersion::get);
    let change_id = loaded.change_id.as_ref().map(ToString::to_string);
    let json = json!({ "version": version, "change_id": change_id, "sites": sites });
    Report::fields(&fields, &json)
}

fn raw_text(loaded: LoadedBundle, name: &SiteName) -> Result<Report, Failure> {
    let mut bundle = loaded.bundle;
    if name.as_str() == BASE {
        return Ok(Report::raw(bundle.base.text.into_bytes()));
    }
    let Some(file) = bundle.overlays.remove(name) else {
        return Err(unknown_site(name, bundle.overlays.keys()));
    };
    Ok(Report::raw(file.text.into_bytes()))
}

fn effective(bundle: &CheckedBundle, site: &SiteName) -> Result<Report, Failure> {
    let Some(checked) = bundle.site(site) else {
        return Err(unknown_site(site, bundle.sites().map(|(name, _)| name)));
    };
    let values: Vec<_> = checked.effective.values().collect();
    let row = |value: &&EffectiveValue| {
        vec![
            value.path.to_string(),
            or_dash(value.text.as_ref()),
            value.origin.to_string(),
        ]
    };
    let rows = values.iter().map(row).collect();
    let json: Vec<_> = values.into_iter().map(value_json).collect();
    Ok(Report::rows(&["KEY", "VALUE", "ORIGIN"], rows, &json))
}

fn explain(
    bundle: &CheckedBundle,
    key: &SettingPath,
    selected: Option<&SiteName>,
) -> Result<Report, Failure> {
    let (mut rows, mut json) = (Vec::new(), Vec::new());
    let is_selected = |name: &SiteName| selected.is_none_or(|selected| selected == name);
    let sites: Vec<_> = bundle
        .sites()
        .filter(|(name, _)| is_selected(name))
        .collect();
    if let Some(selected) = selected.filter(|_| sites.is_empty()) {
        return Err(unknown_site(selected, bundle.sites().map(|(name, _)| name)));
    }
    for (name, site) in &sites {
        let Some(value) = site.effective.value(key) else {
            continue;
        };
        let (text, origin) = (or_dash(value.text.as_ref()), value.origin.to_string());
        rows.push(vec![name.to_string(), text, origin, "in force".into()]);
        for (text, origin) in &value.replaced {
            let text = if text.is_empty() { "-" } else { text };
            rows.push(vec![
                name.to_string(),
                text.into(),
                origin.to_string(),
                "replaced".into(),
            ]);
        }
        json.push(json!({ "site": name.to_string(), "value": value_json(value) }));
    }
    if rows.is_empty() {
        return Err(unknown_key(key, &sites));
    }
    Ok(Report::rows(
        &["SITE", "VALUE", "ORIGIN", "STATE"],
        rows,
        &json,
    ))
}

fn diff(changes: &[Change]) -> Report {
    let row = |change: &Change| {
        let (site, path) = (change.site.to_string(), change.path.to_string());
        vec![
            site,
            path,
            or_dash(change.old.as_ref()),
            or_dash(change.new.as_ref()),
        ]
    };
    let json = |change: &Change| {
        let (site, path) = (change.site.to_string(), change.path.to_string());
        json!({ "site": site, "key": path, "old": change.old, "new": change.new })
    };
    let rows = changes.iter().map(row).collect();
    let json: Vec<_> = changes.iter().map(json).collect();
    Report::rows(&["SITE", "KEY", "OLD", "NEW"], rows, &json)
}

fn value_json(value: &EffectiveValue) -> serde_json::Value {
    let replaced = |(text, origin): &(String, cumindeck_config::Origin)| json!({ "value": text, "origin": origin.to_string() });
    json!({
        "key": value.path.to_string(),
        "value": value.text,
        "origin": value.origin.to_string(),
        "replaced": value.replaced.iter().map(replaced).collect::<Vec<_>>(),
    })
}

fn unknown_site<'a>(name: &SiteName, known: impl Iterator<Item = &'a SiteName>) -> Failure {
    let known: Vec<_> = known.map(SiteName::as_str).collect();
    let hint = format!("use one of {}", known.join(", "));
    Failure::refused(
        ErrorReason::NotFound,
        format!("site {name} does not exist"),
        &hint,
    )
}

fn unknown_key(key: &SettingPath, sites: &[(&SiteName, &CheckedSite)]) -> Failure {
    let nearest = sites
        .iter()
        .find_map(|(_, site)| site.effective.nearest(key));
    let hint = match nearest {
        Some(nearest) => format!("did you mean {nearest:?}?"),
        None => "list the keys by `cumindeck config show --site SITE`".to_owned(),
    };
    Failure::refused(
        ErrorReason::NotFound,
        format!("key {key} does not exist"),
        &hint,
    )
}

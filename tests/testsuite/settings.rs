//! Rejection of invalid settings files and fleet configurations.

use hawthornmill::config::accept::{Values, accept, manifest};
use hawthornmill::ini::Diagnostic;
use hawthornmill_net::settings::Settings;
use hawthornmill_test_support::procs::small_fleet;

fn format_faults(faults: &[Diagnostic]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn rejection(text: &str) -> String {
    let values = Values::from([("fleet".into(), text.into())]);
    match accept(&manifest(1, &values), &values) {
        Ok(_) => "accepted".into(),
        Err(faults) => format_faults(&faults),
    }
}

#[test]
fn invalid_settings_report_every_fault_with_its_line() {
    let text = "[instance]\nname = r1\ndomian = a\nregion = north\nhttp = nowhere\n\
                peer = 127.0.0.1:1\n[platform]\naddress = 127.0.0.1:2\n[peers]\nkey = 12\n\
                [limits]\nbody_bytes = many\n[extra]\n";

    let faults = Settings::parse("r1.ini", text).expect_err("the file is invalid");

    insta::assert_snapshot!(format_faults(&faults), @r"
    r1.ini:13: error 1003: unknown section [extra]
    r1.ini:3: error 1004: unknown key `domian`; did you mean `domain`?
    r1.ini:1: error 1005: section [instance ] needs `domain`
    r1.ini:5: error 1006: `http` is IP:port, not `nowhere`
    r1.ini:10: error 1006: `key` is 64 hexadecimal digits
    r1.ini:12:14: error 1006: invalid value `many` for `body_bytes`
    ");
}

#[test]
fn missing_settings_file_is_reported_by_name() {
    let path = std::path::Path::new("no-such-file.ini");

    let faults = Settings::load(path).expect_err("there is no such file");

    insta::assert_snapshot!(format_faults(&faults), @"no-such-file.ini: error 1001: No such file or directory (os error 2)");
}

#[test]
fn invalid_fleet_config_reports_every_fault_with_its_position() {
    let text = small_fleet()
        .grant("broken", "size in (large", "pool=std", 1.0)
        .server("lost", "nothing", "nowhere", 1, "std")
        .text();

    insta::assert_snapshot!(rejection(&text), @r"
    fleet:86:20: error 2001: `(` is never closed
    fleet:91: error 2002: no service is named `nothing`
    fleet:92: error 2002: no domain is named `nowhere`
    ");
}

/// Failure: the platform serves a partly written value and the fleet accepts it. It would lose the
/// servers in the missing part, and a different part at each instance.
#[test]
fn truncated_value_is_rejected() {
    let complete = small_fleet().values();
    let revision = manifest(2, &complete);
    let truncated = Values::from([("fleet".into(), complete["fleet"][..400].into())]);

    let faults = accept(&revision, &truncated).expect_err("the value is truncated");

    insta::assert_snapshot!(format_faults(&faults), @"fleet: error 2004: the digest differs from the manifest");
}

#[test]
fn value_over_one_megabyte_is_rejected() {
    let text = format!("# {}\n", "x".repeat(1_000_000));

    insta::assert_snapshot!(rejection(&text), @"fleet: error 2003: 1000003 bytes; at most 1000000 are allowed");
}

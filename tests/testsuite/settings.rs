//! Settings files and fleet configurations that are refused.

use hawthornmill::config::accept::{Values, accept, manifest};
use hawthornmill::ini::Diagnostic;
use hawthornmill_net::settings::Settings;
use hawthornmill_test_support::procs::small_fleet;

fn words(faults: &[Diagnostic]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn refused(text: &str) -> String {
    let values = Values::from([("fleet".into(), text.into())]);
    match accept(&manifest(1, &values), &values) {
        Ok(_) => "accepted".into(),
        Err(faults) => words(&faults),
    }
}

#[test]
fn settings_name_every_fault_with_its_line() {
    let text = "[instance]\nname = r1\ndomian = a\nregion = north\nhttp = nowhere\n\
                peer = 127.0.0.1:1\n[platform]\naddress = 127.0.0.1:2\n[peers]\nkey = 12\n\
                [limits]\nbody_bytes = many\n[extra]\n";

    let faults = Settings::parse("r1.ini", text).expect_err("the file is bad");

    insta::assert_snapshot!(words(&faults), @r"
    r1.ini:13: error 1003: unknown section [extra]
    r1.ini:3: error 1004: unknown key `domian`; did you mean `domain`?
    r1.ini:1: error 1005: section [instance ] needs `domain`
    r1.ini:5: error 1006: `http` is IP:port, not `nowhere`
    r1.ini:10: error 1006: `key` is 64 hexadecimal digits
    r1.ini:12:14: error 1006: `body_bytes` can't be `many`
    ");
}

#[test]
fn a_missing_settings_file_is_named() {
    let path = std::path::Path::new("no-such-file.ini");

    let faults = Settings::load(path).expect_err("there is no such file");

    insta::assert_snapshot!(words(&faults), @"no-such-file.ini: error 1001: No such file or directory (os error 2)");
}

#[test]
fn a_fleet_configuration_names_every_fault_with_its_place() {
    let text = small_fleet()
        .grant("broken", "size in (large", "pool=std", 1.0)
        .server("lost", "nothing", "nowhere", 1, "std")
        .text();

    insta::assert_snapshot!(refused(&text), @r"
    fleet:86:20: error 2001: `(` is never closed
    fleet:91: error 2002: no service is called `nothing`
    fleet:92: error 2002: no domain is called `nowhere`
    ");
}

/// A platform that is being written to serves half of a value. Taken as it is, the fleet would lose
/// the servers of the other half, and every instance another half.
#[test]
fn a_value_cut_in_half_is_refused() {
    let whole = small_fleet().values();
    let revision = manifest(2, &whole);
    let half = Values::from([("fleet".into(), whole["fleet"][..400].into())]);

    let faults = accept(&revision, &half).expect_err("half a value");

    insta::assert_snapshot!(words(&faults), @"fleet: error 2004: text is not the manifest's");
}

#[test]
fn a_value_over_a_megabyte_is_refused() {
    let text = format!("# {}\n", "x".repeat(1_000_000));

    insta::assert_snapshot!(refused(&text), @"fleet: error 2003: 1000003 bytes; at most 1000000 are allowed");
}

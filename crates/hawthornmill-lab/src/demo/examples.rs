//! The examples that are built in.

/// An example: a fleet configuration, callers, and the domains that routers stand in.
#[derive(Debug, Clone, Copy)]
pub struct Example {
    /// Name on the command line.
    pub name: &'static str,
    /// Fleet configuration.
    pub fleet: &'static str,
    /// Callers.
    pub load: &'static str,
    /// Failure domains with their regions; routers are spread over them in turn.
    pub domains: &'static [(&'static str, &'static str)],
}

const EXAMPLES: &[Example] = &[
    Example {
        name: "kilima",
        fleet: include_str!("../../../../examples/kilima/fleet.ini"),
        load: include_str!("../../../../examples/kilima/load.ini"),
        domains: &[
            ("nairobi-a", "nairobi"),
            ("nairobi-b", "nairobi"),
            ("mombasa-a", "mombasa"),
        ],
    },
    Example {
        name: "bringamaret",
        fleet: include_str!("../../../../examples/bringamaret/fleet.ini"),
        load: include_str!("../../../../examples/bringamaret/load.ini"),
        domains: &[
            ("kozep-a", "kozep"),
            ("kozep-b", "kozep"),
            ("alfold-a", "alfold"),
        ],
    },
];

/// The example called `name`.
pub fn find(name: &str) -> Option<Example> {
    EXAMPLES.iter().find(|e| e.name == name).copied()
}

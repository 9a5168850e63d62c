//! The page about results shows every scenario with its plots, and how many days are missing.

mod helper;
use fennelscale_lab::decider::Library;
use fennelscale_lab::draw::Day;
use fennelscale_lab::experiment::run_day;
use fennelscale_lab::report::page;
use fennelscale_lab::results::{Head, Results};
use helper::*;

fn results(names: &[&str], planned: usize) -> Results {
    let mut row = run_day(&Day::draw(&small(""), 1), &Library);
    row.books.plans.insert("<dear & odd>".into(), Default::default());
    let rows = names.iter().map(|name| {
        row.scenario = name.to_string();
        row.clone()
    });
    Results { head: Head::of(planned), rows: rows.collect() }
}

#[test]
fn every_scenario_has_its_plots_and_its_table_row() {
    let new = results(&["calm", "a<b"], 2);
    let html = page(&new, None).expect("the page is rendered");
    assert_eq!(html.matches("<h2 ").count(), 2);
    // Plots: worth, tries, machines, refusals, plans, classes, zones, waterfall.
    assert_eq!(html.matches("<svg ").count(), 2 * 8);
    assert!(html.contains(&format!("<td>{:.3}<td>-", new.rows[0].books.g)));
    assert!(html.contains("a&lt;b") && !html.contains("a<b") && !html.contains("<dear"));
    assert!(!html.contains("missing"));
    for name in ["quota-spent", "bulk-supply", "reading", "pump-house", "counter calls"] {
        assert!(html.contains(name), "{name}");
    }
}

#[test]
fn older_results_and_missing_days_are_shown() {
    let (new, old) = (results(&["calm", "herd"], 5), results(&["calm"], 1));
    let html = page(&new, Some(&old)).expect("the page is rendered");
    assert!(html.contains("3 of 5 days are missing"));
    // With older days there are two waterfalls, otherwise one.
    assert_eq!(html.matches("<svg ").count(), 9 + 8);
    assert!(html.contains("earned, old") && html.contains("<td>-</table>"));
}

use super::*;

#[test]
fn parses_a_load_report_from_text() {
    let columns = [Column::InFlight, Column::Errors, Column::Utilisation];
    let parse = |text| report_from_text(&columns, text);
    let report = parse("TEXT inflight=7, queue=2, util=0.61").expect("two of the three metrics are present");
    assert_eq!((report.in_flight, report.utilisation), (Some(7.0), Some(0.61)));
    assert_eq!((report.errors_per_s, report.served_per_s), (None, None));
    for invalid in ["", "TEXT", "JSON {}", "TEXT inflight=NaN", "TEXT inflight=-1,util=1e99", "TEXT qps=4"] {
        assert_eq!(parse(invalid), None, "{invalid}");
    }
}

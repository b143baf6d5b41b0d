//! Guards against input that makes the parser panic, and against values whose
//! string form is parsed as another value.

use std::collections::BTreeMap;
use std::fmt::{Debug, Display};
use std::str::FromStr;

use cumindeck_config::{BitRate, Bundle, CheckedBundle, Guarantee, Percent, RackWorkers};
use proptest::prelude::*;

proptest! {
    #[test]
    fn any_input_is_parsed_without_panic(
        base in "(\\[(site|team a|zone \\*|requests|x y z)\\]\n|[a-z=;# \\\\\"'\r\t]{0,12}\n){0,12}",
        overlay in "\\PC{0,200}",
    ) {
        let site = "s".parse().expect("a name");
        let bundle = Bundle::from_texts(base, BTreeMap::from([(site, overlay)]));
        if let Ok(checked) = CheckedBundle::try_from(bundle.clone()) {
            prop_assert_eq!(checked.bundle(), &bundle);
        }
    }

    #[test]
    fn formatted_values_parse_to_the_same_value(
        percent in "[0-9]{1,3}%",
        rate in "[0-9]{1,12}(bit|kbit|Mbit|Gbit)/s",
        racks in "[1-9]{1,2}(, ?[1-9]{1,2}){0,5}",
        guarantee in "[a-z]{1,3}( [1-9]x(rack|half|single))(,[a-z]{1,3} 2xworker){0,2}",
    ) {
        check_round_trip::<Percent>(&percent)?;
        check_round_trip::<BitRate>(&rate)?;
        check_round_trip::<RackWorkers>(&racks)?;
        check_round_trip::<Guarantee>(&guarantee)?;
    }
}

fn check_round_trip<T>(text: &str) -> Result<(), TestCaseError>
where
    T: FromStr<Err: Debug> + Display + PartialEq + Debug,
{
    if let Ok(value) = text.parse::<T>() {
        let back: T = value.to_string().parse().expect("the form it writes");
        prop_assert_eq!(back, value);
    }
    Ok(())
}

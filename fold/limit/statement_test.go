package limit_test

import (
	"strings"
	"testing"

	"fuchsiafold.example/fold/limit"
)

// TestParseStatement guards against a limit that is taken for none, whatever the number of its digits.
func TestParseStatement(t *testing.T) {
	tests := []struct {
		values []string
		want   limit.Statement
	}{
		{nil, limit.Statement{}},
		{[]string{"5.2"}, limit.Statement{Named: true, Rate: 5.2}},
		{[]string{"12"}, limit.Statement{Named: true, Rate: 12}},
		{[]string{"0"}, limit.Statement{Named: true}},
		{[]string{"0.05"}, limit.Statement{Named: true, Rate: 0.05}},
		{[]string{""}, limit.Statement{Invalid: true}},
		{[]string{"-1"}, limit.Statement{Invalid: true}},
		{[]string{"+1"}, limit.Statement{Invalid: true}},
		{[]string{"5,2"}, limit.Statement{Invalid: true}},
		{[]string{"1e3"}, limit.Statement{Invalid: true}},
		{[]string{"NaN"}, limit.Statement{Invalid: true}},
		{[]string{"Inf"}, limit.Statement{Invalid: true}},
		{[]string{"0x10"}, limit.Statement{Invalid: true}},
		{[]string{"five"}, limit.Statement{Invalid: true}},
		{[]string{"5", "6"}, limit.Statement{Invalid: true}},
		{[]string{"."}, limit.Statement{Invalid: true}},
		{[]string{"1.2.3"}, limit.Statement{Invalid: true}},
		{[]string{"3.3333333333333335"}, limit.Statement{Named: true, Rate: 10. / 3}},
		{[]string{"1.0000000000"}, limit.Statement{Named: true, Rate: 1}},
		{[]string{"0000000000002.50"}, limit.Statement{Named: true, Rate: 2.5}},
		{[]string{"2."}, limit.Statement{Named: true, Rate: 2}},
		{[]string{".5"}, limit.Statement{Named: true, Rate: 0.5}},
		{[]string{"0." + strings.Repeat("0", 400) + "1"}, limit.Statement{Named: true}},
		{[]string{"9999999999"}, limit.Statement{Named: true, Rate: 1e9}},
		{[]string{strings.Repeat("9", 400)}, limit.Statement{Named: true, Rate: 1e9}},
	}
	for _, tt := range tests {
		if tt.want.Invalid {
			tt.want.Text = strings.Join(tt.values, ", ")
		}
		if got := limit.ParseStatement(tt.values); got != tt.want {
			t.Errorf("ParseStatement(%q) = %+v, want %+v", tt.values, got, tt.want)
		}
	}
}

package limit_test

import (
	"testing"

	"fuchsiafold.example/fold/limit"
)

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
		{[]string{"9999999999"}, limit.Statement{Invalid: true}},
		{[]string{"1.0000000000"}, limit.Statement{Invalid: true}},
	}
	for _, tt := range tests {
		if got := limit.ParseStatement(tt.values); got != tt.want {
			t.Errorf("ParseStatement(%q) = %+v, want %+v", tt.values, got, tt.want)
		}
	}
}

package saddletemplate_test

import (
	"errors"
	"testing"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddletemplate"
)

// No text of a template, and no value of a parameter, makes rendering fail
// otherwise than with an *Error, and two replicas render the same.
func FuzzRender(f *testing.F) {
	const body = "[parameters.w]\ntype = \"int\"\n[deployment]\nweight = \"${w}\"\nmodels = [{ name = \"m-${w}\" }]\n"
	f.Add(body, "w", "3")
	f.Add(body, "w", "${w}")
	f.Add("[deployment]\nkeys = [\"zz\"]\nmodels = 3\n", "", "")
	f.Add("[parameters.k]\ntype = \"list\"\n[deployment]\nkeys = \"${k}\"\nmodels = [{ name = \"m\" }]\n", "k", ",\x00,\"")
	f.Fuzz(func(t *testing.T, text, name, value string) {
		parsed, err := saddletemplate.Parse("meet", text)
		if err != nil {
			needError(t, err)
			return
		}
		given := map[string]string{name: value}
		first, err := parsed.Render("volos", given)
		if err != nil {
			needError(t, err)
			return
		}
		second, err := parsed.Render("volos", given)
		if err != nil || first.String() != second.String() {
			t.Fatalf("rendered anew: %v\n%v\n%v", err, first, second)
		}
	})
}

func needError(t *testing.T, err error) {
	t.Helper()
	var bad *saddletemplate.Error
	if !errors.As(err, &bad) {
		t.Fatalf("error of another type: %v", err)
	}
}

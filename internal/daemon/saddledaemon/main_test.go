package saddledaemon_test

import (
	"os"
	"testing"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
)

func TestMain(m *testing.M) {
	code := m.Run()
	saddleprocess.RemovePrograms()
	os.Exit(code)
}

package logline

import (
	"errors"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// Guards against lines that differ from those of the library's formatter.
func TestFormatterAgreesWithJSONFormatter(t *testing.T) {
	values := []any{
		"plain", `quoted "text"`, "back\\slash", "<a&b>", "umlaut ä", "line\nbreak", "\xff", "", 5, -7, int64(1) << 60, true, 0.25, -1e-9, 1e300, 0.0, math.Copysign(0, -1),
		1e21, 1e-6, nil, errors.New(`failed: "x"`), []string{"a"}, 3 * time.Second, map[string]int{"b": 1, "a": 2}, uint32(9),
	}
	for _, value := range values {
		for _, key := range []string{"event", "msg", "time", "level", `odd "key"`} {
			e := &logrus.Entry{Data: logrus.Fields{key: value, "worker": "w1"}, Time: time.UnixMilli(1_700_000_000_123), Message: "decision", Level: logrus.InfoLevel}
			want, wantErr := (&logrus.JSONFormatter{}).Format(e)
			got, err := Formatter{}.Format(e)
			qt.Check(t, err == nil, qt.Equals, wantErr == nil)
			qt.Check(t, string(got), qt.Equals, string(want), qt.Commentf("%v", value))
		}
	}
	_, err := Formatter{}.Format(&logrus.Entry{Data: logrus.Fields{"x": math.NaN()}})
	qt.Check(t, err, qt.IsNotNil, qt.Commentf("as the library's formatter"))
}

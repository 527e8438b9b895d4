package daemon

import "testing"

// Guards against an instance that starts after the configuration became unreadable
// and refuses all callers until the next version, although the owner has the valid
// one.
func TestStartWithUnreadableConfiguration(t *testing.T) {
	s := newDeployment(t, 1, 2, shortTask)
	s.submit(s.instances[0], 1, 1)
	s.store.Put("keyed.op", "config", []byte("{"))
	s.store.TrimTopic("keyed.op")
	late := s.start("inst-late")
	s.submit(late, 2, 2)
	s.waitState(late, 2, "completed")
	s.checkRanOnce(2, 2)
}

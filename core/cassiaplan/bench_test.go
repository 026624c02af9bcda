package cassiaplan

import "testing"

func BenchmarkQueryOf76Shards(b *testing.B) {
	w := newWorld(76)
	b.ReportAllocs()
	for b.Loop() {
		effects := w.reply(w.begin(), answer)
		if len(effectsOf[Finish](effects)) != 1 {
			b.Fatal("the query did not finish after every attempt was answered")
		}
	}
}

package dev.nutmegdoor.protocol;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.configuration.ConfigurationAnnouncement;
import dev.nutmegdoor.core.configuration.ConfigurationEdit;
import dev.nutmegdoor.core.configuration.ConfigurationFetch;
import dev.nutmegdoor.core.configuration.ConfigurationMessages;
import dev.nutmegdoor.core.configuration.ConfigurationPage;
import dev.nutmegdoor.core.configuration.ConfigurationShardText;
import dev.nutmegdoor.core.configuration.ConfigurationVersionRequest;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.key.KeyMessages;
import dev.nutmegdoor.core.key.KeyWithdrawal;
import dev.nutmegdoor.core.key.WithdrawalPush;
import dev.nutmegdoor.core.key.WithdrawalReceipt;
import dev.nutmegdoor.core.key.WithdrawalSync;
import dev.nutmegdoor.core.key.WithdrawalSyncAnswer;
import dev.nutmegdoor.core.key.WithdrawalZoneAnswer;
import dev.nutmegdoor.core.key.WithdrawalZoneRequest;
import dev.nutmegdoor.core.peer.PeerMessage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class StateMessageTests {

	// Guards against configuration changes or key withdrawals that don't propagate
	// because
	// their records can't be decoded. The simulated network passes objects without
	// encoding
	// them, so other tests can't detect this.
	@Test
	void decodesAllConfigurationAndKeyMessages() {
		List<KeyWithdrawal> withdrawals = List.of(new KeyWithdrawal(new KeyId("k1"), "ann", "leaked", 7));
		List<PeerMessage> messages = List.of(new ConfigurationAnnouncement(7),
				new ConfigurationFetch(7, List.of("a", ""), true), new ConfigurationVersionRequest(7, 9),
				new ConfigurationPage("{}", List.of(new ConfigurationEdit("keys", "k1", null, true)),
						List.of(new ConfigurationShardText(3, "{}")), true),
				new WithdrawalPush(withdrawals), new WithdrawalReceipt("1-a"), new WithdrawalSync(List.of(-1L, 2L)),
				new WithdrawalSyncAnswer(withdrawals, List.of(Long.MIN_VALUE)), new WithdrawalZoneRequest(withdrawals),
				new WithdrawalZoneAnswer(List.of(new InstanceId("i-1")), List.of(new InstanceId("i-2"))));
		List<Class<? extends PeerMessage>> types = new ArrayList<>(ConfigurationMessages.types());
		types.addAll(KeyMessages.types());
		FrameCodec codec = new FrameCodec(new MessageTypes(types));
		for (PeerMessage message : messages) {
			Frame frame = codec.decode(codec.encode(codec.frame(FrameKind.REQUEST, message, 1, 0)));
			assertThat(codec.message(frame), is(message));
		}
		assertThat(messages.size(), is(types.size()));
	}

}

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One kept connection of a client to a gateway. */
final class Client implements AutoCloseable {

	private final Socket socket = new Socket();

	private final InputStream input;

	Client(InetSocketAddress gateway) throws IOException {
		this.socket.setTcpNoDelay(true);
		this.socket.connect(gateway, 1_000);
		this.input = new BufferedInputStream(this.socket.getInputStream());
	}

	void send(String method, String host, String path, Map<String, String> headers, byte[] body) throws IOException {
		StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		if (body != null) {
			head.append("Content-Length: ").append(body.length).append("\r\n");
		}
		byte[] bytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
		byte[] whole = new byte[bytes.length + ((body != null) ? body.length : 0)];
		System.arraycopy(bytes, 0, whole, 0, bytes.length);
		if (body != null) {
			System.arraycopy(body, 0, whole, bytes.length, body.length);
		}
		this.socket.getOutputStream().write(whole);
		this.socket.getOutputStream().flush();
	}

	Answer receive(int timeoutMs) throws IOException {
		this.socket.setSoTimeout(timeoutMs);
		Message head = Message.readHead(this.input);
		if (head == null) {
			throw new IOException("the connection ended without an answer");
		}
		return new Answer(head.status(), head, new String(head.readBody(this.input), StandardCharsets.UTF_8));
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	record Answer(int status, Message head, String body) {

		boolean isSealed() {
			return this.status == 200 && this.head.header("Server-Seal") != null;
		}

	}

}

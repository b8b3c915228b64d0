package dev.nutmegdoor.cli;

import java.io.IOException;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.net.JarURLConnection;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.URL;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.introspect.BeanPropertyDefinition;
import org.apache.commons.cli.Option;

import dev.nutmegdoor.core.call.CallPayload;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.protocol.Frame;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.protocol.FrameKind;
import dev.nutmegdoor.protocol.MessageTypes;
import dev.nutmegdoor.protocol.ProtocolException;

/**
 * Finds the names that leave the process in the compiled main classes on the class path.
 */
final class OuterNames {

	private static final String PACKAGE = "dev.nutmegdoor";

	/** Order of the list. */
	static final Comparator<OuterNameRow> ORDER = Comparator.comparing(OuterNameRow::kind)
		.thenComparing(OuterNameRow::toString);

	private final ObjectMapper mapper = new ObjectMapper();

	/**
	 * Loads all main classes of all modules.
	 * @return the classes without those of the tests
	 * @throws IOException if the class path can't be read
	 */
	static List<Class<?>> mainClasses() throws IOException {
		Path tests = location(OuterNames.class);
		List<Class<?>> classes = new ArrayList<>();
		String folder = PACKAGE.replace('.', '/');
		for (URL url : Collections.list(OuterNames.class.getClassLoader().getResources(folder))) {
			if (url.openConnection() instanceof JarURLConnection connection) {
				try (FileSystem jar = FileSystems.newFileSystem(path(connection.getJarFileURL()))) {
					addClasses(jar.getPath("/"), folder, classes);
				}
			}
			else if (!path(url).startsWith(tests)) {
				addClasses(path(url).getParent().getParent(), folder, classes);
			}
		}
		return classes;
	}

	private static void addClasses(Path root, String folder, List<Class<?>> classes) throws IOException {
		try (Stream<Path> files = Files.walk(root.resolve(folder))) {
			for (Path file : files.filter((path) -> path.toString().endsWith(".class")).toList()) {
				String name = root.relativize(file).toString().replace('/', '.');
				if (!name.endsWith("package-info.class")) {
					classes.add(load(name.substring(0, name.length() - ".class".length())));
				}
			}
		}
	}

	private static Class<?> load(String name) {
		try {
			return Class.forName(name, false, OuterNames.class.getClassLoader());
		}
		catch (ClassNotFoundException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Returns the folder or archive that holds a class.
	 * @param type the class
	 * @return path of the entry of the class path
	 */
	static Path location(Class<?> type) {
		return path(type.getProtectionDomain().getCodeSource().getLocation());
	}

	private static Path path(URL url) {
		try {
			return Path.of(new URI(url.toString()));
		}
		catch (URISyntaxException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Returns the rows of some classes and commands.
	 * @param classes the classes; those without outer names have no row
	 * @param commands the commands
	 * @return rows in the order of the list
	 */
	List<OuterNameRow> rows(List<Class<?>> classes, List<Command> commands) {
		List<OuterNameRow> rows = new ArrayList<>();
		classes.forEach((type) -> addRows(type, rows));
		commands.forEach((command) -> rows.add(ofCommand(command)));
		rows.sort(ORDER);
		return rows;
	}

	private void addRows(Class<?> type, List<OuterNameRow> rows) {
		boolean isConcrete = !type.isInterface() && !Modifier.isAbstract(type.getModifiers());
		if (hasMain(type)) {
			rows.add(new OuterNameRow(OuterNameRow.Kind.MAIN, type.getName(), List.of()));
		}
		if (isConcrete && PeerMessage.class.isAssignableFrom(type)) {
			rows.add(new OuterNameRow(OuterNameRow.Kind.MESSAGE, wireName(type.asSubclass(PeerMessage.class)),
					propertyPaths(type)));
		}
		if (isConcrete && CallPayload.class.isAssignableFrom(type)) {
			rows.add(new OuterNameRow(OuterNameRow.Kind.PAYLOAD, type.getSimpleName(), propertyPaths(type)));
		}
		if (type.isRecord() && !PeerMessage.class.isAssignableFrom(type) && !CallPayload.class.isAssignableFrom(type)) {
			rows.add(new OuterNameRow(OuterNameRow.Kind.RECORD, className(type), propertyNames(type)));
		}
		if (type.isEnum()) {
			rows.add(new OuterNameRow(OuterNameRow.Kind.ENUM, className(type), constants(type)));
		}
	}

	private static boolean hasMain(Class<?> type) {
		try {
			return Modifier.isStatic(type.getMethod("main", String[].class).getModifiers());
		}
		catch (NoSuchMethodException ex) {
			return false;
		}
	}

	private static String className(Class<?> type) {
		return type.getName().substring(type.getPackageName().length() + 1).replace('$', '.');
	}

	private List<String> constants(Class<?> type) {
		List<String> names = new ArrayList<>();
		for (Object constant : type.getEnumConstants()) {
			String name = ((Enum<?>) constant).name();
			String written = this.mapper.valueToTree(constant).asText();
			names.add(written.equals(name) ? name : name + "=" + written);
		}
		return names;
	}

	private static OuterNameRow ofCommand(Command command) {
		List<String> options = new ArrayList<>();
		for (Option option : command.options().getOptions()) {
			String name = (option.getOpt() != null) ? "-" + option.getOpt() : "";
			String longName = (option.getLongOpt() != null) ? "--" + option.getLongOpt() : "";
			String separator = (name.isEmpty() || longName.isEmpty()) ? "" : "|";
			options.add(name + separator + longName + (option.hasArg() ? " VALUE" : ""));
		}
		Collections.sort(options);
		return new OuterNameRow(OuterNameRow.Kind.COMMAND, command.name(), options);
	}

	/**
	 * Asks the codec for the type under which it sends a message, and whether it reads
	 * the same type.
	 * @param type class of the message
	 * @return type in the frame
	 */
	private static String wireName(Class<? extends PeerMessage> type) {
		FrameCodec codec = new FrameCodec(new MessageTypes(List.of(type)));
		Frame frame = codec.frame(FrameKind.ONE_WAY, blank(type), 0, 0);
		try {
			if (codec.message(frame) == null) {
				throw new IllegalStateException(type + " is sent as " + frame.type() + " but not read as that");
			}
		}
		catch (ProtocolException ex) {
			// The type is known; a constructor may refuse the blank components.
		}
		return frame.type();
	}

	/**
	 * Creates an instance without a call of its constructor, which may refuse any value
	 * that isn't made for it.
	 * @param type the class
	 * @param <T> the class
	 * @return instance whose fields are 0 or {@code null}
	 */
	private static <T> T blank(Class<T> type) {
		try {
			Class<?> unsafe = Class.forName("sun.misc.Unsafe");
			Field instance = unsafe.getDeclaredField("theUnsafe");
			instance.setAccessible(true);
			return type.cast(unsafe.getMethod("allocateInstance", Class.class).invoke(instance.get(null), type));
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Returns the names of the properties that Jackson writes and reads.
	 * @param type the class
	 * @return the names; {@code <value>} if Jackson writes a single value instead
	 */
	List<String> propertyNames(Class<?> type) {
		return List.copyOf(properties(this.mapper.constructType(type)).keySet());
	}

	/**
	 * Returns the names of the properties that Jackson writes and reads, and below them
	 * those of nested types of this project, such as {@code parts[].text}.
	 * @param type the class
	 * @return the paths; {@code []} stands for an element, {@code {}} for a value of a
	 * map
	 */
	List<String> propertyPaths(Class<?> type) {
		List<String> paths = new ArrayList<>();
		addPaths(this.mapper.constructType(type), "", new HashSet<>(), paths);
		return paths;
	}

	private void addPaths(JavaType type, String prefix, Set<JavaType> parents, List<String> paths) {
		if (!parents.add(type)) {
			return;
		}
		properties(type).forEach((name, propertyType) -> {
			paths.add(prefix + name);
			String path = prefix + name;
			JavaType nested = propertyType;
			while (nested.getContentType() != null) {
				path += nested.isMapLikeType() ? "{}" : nested.isReferenceType() ? "" : "[]";
				nested = nested.getContentType();
			}
			Class<?> raw = nested.getRawClass();
			if (raw.getName().startsWith(PACKAGE) && !raw.isEnum() && !isValue(nested)) {
				addPaths(nested, path + ".", parents, paths);
			}
		});
		parents.remove(type);
	}

	private boolean isValue(JavaType type) {
		return this.mapper.getSerializationConfig().introspect(type).findJsonValueAccessor() != null;
	}

	private Map<String, JavaType> properties(JavaType type) {
		BeanDescription written = this.mapper.getSerializationConfig().introspect(type);
		if (written.findJsonValueAccessor() != null) {
			return Map.of("<value>", written.findJsonValueAccessor().getType());
		}
		Set<String> readNames = new HashSet<>();
		Map<String, JavaType> readOnly = new LinkedHashMap<>();
		for (BeanPropertyDefinition property : this.mapper.getDeserializationConfig()
			.introspect(type)
			.findProperties()) {
			if (property.couldDeserialize()) {
				readNames.add(property.getName());
				readOnly.put(property.getName() + " (only read)", property.getPrimaryType());
			}
		}
		Map<String, JavaType> properties = new LinkedHashMap<>();
		for (BeanPropertyDefinition property : written.findProperties()) {
			if (property.couldSerialize()) {
				boolean isRead = readNames.contains(property.getName());
				properties.put(isRead ? property.getName() : property.getName() + " (only written)",
						property.getAccessor().getType());
				readOnly.remove(property.getName() + " (only read)");
			}
		}
		properties.putAll(readOnly);
		return properties;
	}

}
